/// @file
/// The part of `host_registry` that lists the known hosts.

#include "servers/fleet/host_registry.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

std::vector<host_record> host_registry::hosts_for_callers() const {
    std::vector<host_record> ready = serving_hosts(host_state::ready);
    // During an outage of the store no host is ready. The serving hosts become ready first, and
    // callers that were directed to other hosts would stay there until their directory answer
    // expires.
    if (ready.empty()) {
        ready = serving_hosts(host_state::unready);
    }
    if (ready.empty() && !serving_) {
        // This host has just started: the hosts of the directory serve but were not heard yet.
        ready = listed_peers();
    }
    return ready;
}

std::vector<host_record> host_registry::serving_hosts(host_state state) const {
    const instant now = timers_.now();
    std::vector<host_record> result;
    if (serving_ && !left_ && state_() == state) {
        result.push_back(self_);
    }
    for (const auto& [host, item] : peers_) {
        if (item.state == state && is_alive(item, now)) {
            result.push_back(item.record);
        }
    }
    return result;
}

std::vector<host_record> host_registry::live_peers() const {
    const instant now = timers_.now();
    std::vector<host_record> result;
    for (const auto& [host, item] : peers_) {
        if (item.state != host_state::leaving && is_alive(item, now)) {
            result.push_back(item.record);
        }
    }
    return result;
}

std::vector<host_record> host_registry::listed_peers() const {
    std::vector<host_record> result;
    for (const auto& [host, item] : peers_) {
        if (item.state != host_state::leaving) {
            result.push_back(item.record);
        }
    }
    return result;
}

serving_group host_registry::serving_in(const std::string& data_centre) const {
    const instant now = timers_.now();
    serving_group result;
    if (serving_ && !left_ && self_.data_centre == data_centre && state_() != host_state::standby) {
        result.hosts.push_back(self_);
        result.requests_per_s += requests_per_s_;
    }
    for (const auto& [host, item] : peers_) {
        const bool serves = item.state == host_state::ready || item.state == host_state::unready;
        if (item.record.data_centre == data_centre && serves && is_alive(item, now)) {
            result.hosts.push_back(item.record);
            result.requests_per_s += item.requests_per_s;
        }
    }
    return result;
}

std::vector<reported_host> host_registry::reported_hosts() const {
    const instant now = timers_.now();
    std::vector<reported_host> result;
    if (serving_ && !left_) {
        result.push_back({self_, state_(), duration::zero()});
    }
    for (const auto& [host, item] : peers_) {
        if (is_alive(item, now)) {
            result.push_back({item.record, item.state, now - item.last_heard_at});
        }
    }
    return result;
}

void host_registry::merge_reported_hosts(const std::vector<reported_host>& hosts,
                                         instant asked_at) {
    if (serving_) {
        return;
    }
    for (const reported_host& host : hosts) {
        const instant last_heard_at = asked_at - host.age;
        peer& known = peers_[host.record.host];
        const bool older = known.replaces(host.record.incarnation) ||
                           (known.heard && known.last_heard_at >= last_heard_at);
        if (older || host.record.host == self_.host) {
            continue;
        }
        known.record = host.record;
        known.state = host.state;
        known.last_heard_at = last_heard_at;
        known.heard = true;
    }
    peers_.erase(self_.host);
}

}  // namespace fuchsiaquay
