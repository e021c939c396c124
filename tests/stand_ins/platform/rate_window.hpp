#pragma once

#include <chrono>
#include <cstdint>

namespace fuchsiaquay::stand_ins {

/// Admits a limited number of calls in each clock second. Not thread safe.
class rate_window {
public:
    explicit rate_window(std::int64_t calls_per_second) : limit_(calls_per_second) {}

    bool admit(std::chrono::steady_clock::time_point now) {
        const auto second =
            std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
        if (second != second_) {
            second_ = second;
            used_ = 0;
        }
        return used_++ < limit_;
    }

private:
    std::int64_t limit_;
    std::chrono::seconds second_{0};
    std::int64_t used_ = 0;
};

}  // namespace fuchsiaquay::stand_ins
