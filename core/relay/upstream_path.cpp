#include "core/relay/upstream_path.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

constexpr std::size_t doubtful_failures = 3;
constexpr std::size_t decisive_failures = 6;
/// Older failures do not belong to the same event.
constexpr duration failure_lifetime = std::chrono::seconds(3);

}  // namespace

void upstream_path::on_connected() {
    failures_.clear();
    blocked_ = false;
}

void upstream_path::on_failed(const network_address& upstream, instant now) {
    failures_[upstream] = now;
    const std::size_t decisive = std::min(decisive_failures, upstreams_);
    blocked_ = blocked_ || (decisive > 0 && recent_failures(now) >= decisive);
}

bool upstream_path::in_doubt(instant now) const {
    return !blocked_ && recent_failures(now) >= std::min(doubtful_failures, upstreams_) &&
           upstreams_ > 0;
}

bool upstream_path::failed(const network_address& upstream, instant now) const {
    const auto found = failures_.find(upstream);
    return found != failures_.end() && now - found->second < failure_lifetime;
}

std::size_t upstream_path::recent_failures(instant now) const {
    return static_cast<std::size_t>(std::count_if(
        failures_.begin(), failures_.end(),
        [now](const auto& failure) { return now - failure.second < failure_lifetime; }));
}

}  // namespace fuchsiaquay
