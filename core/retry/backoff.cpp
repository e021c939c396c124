#include "core/retry/backoff.hpp"

#include <algorithm>

namespace fuchsiaquay {

backoff::backoff(const retry_settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

duration backoff::delay(int retry) {
    std::uniform_int_distribution<duration::rep> drawn(0, ceiling(retry).count());
    return duration(drawn(random_));
}

duration backoff::ceiling(int retry) const {
    duration value = settings_.first_delay;
    for (int doubled = 1; doubled < retry && value < settings_.max_delay; ++doubled) {
        value *= 2;
    }
    return std::min(value, settings_.max_delay);
}

}  // namespace fuchsiaquay
