#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "tests/stand_ins/service/execution.hpp"

namespace fuchsiaquay::stand_ins {

/// Every call that a plain service has executed, in order. Thread safe.
class execution_record {
public:
    /// Adds a call, writes it to the standard output and returns its number, from 1.
    std::int64_t add(const execution& call);

    std::vector<execution> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<execution> calls_;
};

}  // namespace fuchsiaquay::stand_ins
