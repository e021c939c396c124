#include "core/fleet/serving_policy.hpp"

#include <algorithm>
#include <cmath>

#include "core/hashing/hash.hpp"
#include "core/hashing/spread.hpp"

namespace fuchsiaquay {

namespace {

/// Processor share of a host that does not wait for larger ones.
constexpr double large_share = 0.5;
/// Wait of a host for each time that a large one has its processor share.
constexpr duration share_delay = std::chrono::milliseconds(400);
constexpr duration most_share_delay = std::chrono::milliseconds(1'200);
/// Hosts of the same share spread over this time.
constexpr duration share_spread = std::chrono::milliseconds(600);

}  // namespace

std::size_t serving_policy::required_hosts(double requests_per_s) const {
    const std::size_t least =
        (settings_.hosts + settings_.data_centres - 1) / settings_.data_centres;
    const auto busy =
        static_cast<std::size_t>(std::ceil(requests_per_s / settings_.requests_per_host));
    return std::max(least, busy);
}

duration serving_policy::start_delay(const host_record& host) const {
    const double times = host.processor_share > 0.0 ? large_share / host.processor_share : 1.0;
    const duration smaller = from_seconds(to_seconds(share_delay) * std::max(0.0, times - 1.0));
    return std::min(smaller, most_share_delay) + spread_delay(host.host, share_spread);
}

bool serving_policy::is_preferred(const host_record& one, const host_record& other) {
    if (one.processor_share != other.processor_share) {
        return one.processor_share > other.processor_share;
    }
    return stable_hash(one.host) < stable_hash(other.host);
}

const host_record* serving_policy::most_preferred(const std::vector<host_record>& hosts) {
    const auto first = std::min_element(hosts.begin(), hosts.end(), is_preferred);
    return first == hosts.end() ? nullptr : &*first;
}

}  // namespace fuchsiaquay
