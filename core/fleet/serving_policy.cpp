#include "core/fleet/serving_policy.hpp"

#include <algorithm>
#include <cmath>

#include "core/hashing/hash.hpp"
#include "core/hashing/stagger_delay.hpp"

namespace fuchsiaquay {

namespace {

/// Hosts with at least this processor share start without a delay for their size.
constexpr double large_share = 0.5;
/// Delay of smaller hosts. Multiplied by (`large_share` / processor share - 1).
constexpr duration share_delay = std::chrono::milliseconds(400);
constexpr duration max_share_delay = std::chrono::milliseconds(1'200);
/// Hosts with the same processor share spread their start over this time.
constexpr duration share_spread = std::chrono::milliseconds(600);

}  // namespace

std::size_t serving_policy::required_hosts(double requests_per_s) const {
    const std::size_t minimum =
        (settings_.hosts + settings_.data_centres - 1) / settings_.data_centres;
    const auto for_load =
        static_cast<std::size_t>(std::ceil(requests_per_s / settings_.requests_per_host));
    return std::max(minimum, for_load);
}

duration serving_policy::start_delay(const host_record& host) const {
    const double ratio = host.processor_share > 0.0 ? large_share / host.processor_share : 1.0;
    const duration size_delay = from_seconds(to_seconds(share_delay) * std::max(0.0, ratio - 1.0));
    return std::min(size_delay, max_share_delay) + stagger_delay(host.host, share_spread);
}

bool serving_policy::is_preferred(const host_record& candidate, const host_record& other) {
    if (candidate.processor_share != other.processor_share) {
        return candidate.processor_share > other.processor_share;
    }
    return stable_hash(candidate.host) < stable_hash(other.host);
}

const host_record* serving_policy::most_preferred(const std::vector<host_record>& hosts) {
    const auto preferred = std::min_element(hosts.begin(), hosts.end(), is_preferred);
    return preferred == hosts.end() ? nullptr : &*preferred;
}

}  // namespace fuchsiaquay
