#include "core/retry/backoff.hpp"

#include <algorithm>

namespace fuchsiaquay {

backoff::backoff(const retry_settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

duration backoff::delay(int retry) {
    std::uniform_int_distribution<duration::rep> distribution(0, ceiling(retry).count());
    return duration(distribution(random_));
}

duration backoff::ceiling(int retry) const {
    duration value = settings_.first_delay;
    for (int doublings = 1; doublings < retry && value < settings_.max_delay; ++doublings) {
        value *= 2;
    }
    return std::min(value, settings_.max_delay);
}

}  // namespace fuchsiaquay
