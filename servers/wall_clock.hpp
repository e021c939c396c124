#pragma once

#include <cstdint>

namespace fuchsiaquay {

/// Time of day, which may jump. It is used only for the age of keys, never for leases or deadlines.
class wall_clock {
public:
    wall_clock() = default;
    wall_clock(const wall_clock&) = delete;
    wall_clock& operator=(const wall_clock&) = delete;
    virtual ~wall_clock() = default;

    /// Milliseconds since the Unix epoch.
    virtual std::int64_t unix_ms() const = 0;
};

}  // namespace fuchsiaquay
