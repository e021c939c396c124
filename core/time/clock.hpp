#pragma once

/// @file
/// Time as the decision logic sees it: a monotonic clock handed in from outside.

#include <chrono>
#include <cstdint>

namespace fuchsiaquay {

/// Length of time in microseconds.
using duration = std::chrono::microseconds;

/// Tag clock of `instant`. It cannot be read: the current time always comes as an argument, so
/// that the same logic runs in a process and in virtual time.
struct node_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<node_clock>;
    static constexpr bool is_steady = true;
};

/// Point on the monotonic clock of one process. Never sent to another process.
using instant = node_clock::time_point;

/// Whole milliseconds in `value`, rounded down.
constexpr std::int64_t to_milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Seconds in `value` as a real number.
constexpr double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Nearest duration to a real number of seconds.
constexpr duration from_seconds(double seconds) {
    constexpr double microseconds_per_second = 1e6;
    return duration(static_cast<std::int64_t>(seconds * microseconds_per_second));
}

}  // namespace fuchsiaquay
