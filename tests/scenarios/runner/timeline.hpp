#pragma once

#include <cstdint>
#include <mutex>
#include <ostream>
#include <string>
#include <vector>

namespace fuchsiaquay::scenarios {

/// Timestamped events of a scenario, for the report of a failed run. Thread safe.
class timeline {
public:
    timeline();

    void note(const std::string& text);
    void print(std::ostream& out) const;

private:
    const std::int64_t start_ms_;
    mutable std::mutex mutex_;
    std::vector<std::string> lines_;
};

}  // namespace fuchsiaquay::scenarios
