#pragma once

#include <cstdint>
#include <random>

#include "core/retry/retry_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Exponential back-off with full jitter from a seeded source.
class backoff {
public:
    backoff(const retry_settings& settings, std::uint64_t seed);

    /// Delay before a retry: evenly drawn between zero and a ceiling that doubles with each one.
    /// @param retry  1 for the first retry of a request
    duration delay(int retry);
    /// Ceiling of `delay`.
    duration ceiling(int retry) const;

private:
    retry_settings settings_;
    std::mt19937_64 random_;
};

}  // namespace fuchsiaquay
