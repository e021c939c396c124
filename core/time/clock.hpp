#pragma once

/// @file
/// Time types of the decision logic, which gets the monotonic time from its caller.

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace fuchsiaquay {

/// Length of time in microseconds.
using duration = std::chrono::microseconds;

/// Clock type of `instant`. It has no `now`: the current time is always passed as an argument, so
/// that the same logic runs in real and in virtual time.
struct node_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<node_clock>;
    static constexpr bool is_steady = true;
};

/// Time on the monotonic clock of one process. Never sent to another process.
using instant = node_clock::time_point;

/// Bound of lengths of time that come from outside. Adding some of them to a time does not
/// overflow.
constexpr duration max_duration = std::chrono::hours(24 * 365 * 100);

/// Whole milliseconds in `value`, rounded down.
constexpr std::int64_t to_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// `value` in seconds.
constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Converts a number of seconds to a duration, truncated to whole microseconds and limited to
/// `max_duration` in both directions. Returns zero for a value that is not a number.
constexpr duration from_seconds(double seconds) {
    constexpr double microseconds_per_second = 1e6;
    if (seconds >= to_seconds(max_duration)) {
        return max_duration;
    }
    if (seconds <= -to_seconds(max_duration)) {
        return -max_duration;
    }
    const bool number = seconds == seconds;  // NOLINT(misc-redundant-expression): false for NaN
    return number ? duration(static_cast<std::int64_t>(seconds * microseconds_per_second))
                  : duration::zero();
}

/// Converts a number of milliseconds to a duration, limited to `max_duration` in both directions.
constexpr duration limited_milliseconds(std::int64_t milliseconds) {
    constexpr std::int64_t limit = to_milliseconds(max_duration);
    return std::chrono::milliseconds(std::clamp(milliseconds, -limit, limit));
}

}  // namespace fuchsiaquay
