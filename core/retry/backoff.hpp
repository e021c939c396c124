#pragma once

#include <cstdint>
#include <random>

#include "core/retry/retry_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Exponential backoff with full jitter from a seeded random generator.
class backoff {
public:
    backoff(const retry_settings& settings, std::uint64_t seed);

    /// Returns a random delay, uniformly distributed between zero and a limit that doubles with
    /// each retry.
    /// @param retry  1 for the first retry of a request
    duration delay(int retry);
    /// Upper limit of `delay`.
    duration ceiling(int retry) const;

private:
    retry_settings settings_;
    std::mt19937_64 random_;
};

}  // namespace fuchsiaquay
