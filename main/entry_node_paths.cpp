/// @file
/// The part of `entry_node` that reaches upstreams through other hosts, and others through it.

#include <algorithm>
#include <string>
#include <vector>

#include "core/hashing/hash.hpp"
#include "main/entry_node.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_ok = 200;
constexpr int status_forbidden = 403;
constexpr int status_unavailable = 503;

}  // namespace

void entry_node::connect_upstream_paths() {
    dialer_.set_upstreams([this] { return upstreams_.addresses(); });
    dialer_.set_peers([this] { return tunnel_addresses(); });
    dialer_.on_path_changed([this] {
        // What is known of single upstreams was learnt on the other path.
        health_.forget_all();
        connector_.close_idle();
    });
}

std::vector<network_address> entry_node::tunnel_addresses() const {
    std::vector<host_record> peers = hosts_.live_peers();
    const auto before = [this](const host_record& a, const host_record& b) {
        return stable_hash(settings_.host + " " + a.host) <
               stable_hash(settings_.host + " " + b.host);
    };
    std::sort(peers.begin(), peers.end(), before);
    const auto remote = std::stable_partition(
        peers.begin(), peers.end(),
        [this](const host_record& host) { return host.data_centre == settings_.data_centre; });
    std::vector<network_address> result;
    auto near = peers.cbegin();
    auto far = std::vector<host_record>::const_iterator(remote);
    while (near != remote || far != peers.cend()) {
        if (near != remote) {
            result.push_back((near++)->datagram_address);
        }
        if (far != peers.cend()) {
            result.push_back((far++)->datagram_address);
        }
    }
    return result;
}

int entry_node::tunnel_permission(const std::string& from, const network_address& upstream) const {
    if (stopping_ || dialer_.blocked()) {
        return status_unavailable;
    }
    const std::vector<host_record> hosts = hosts_.listed_peers();
    const bool from_host =
        std::any_of(hosts.begin(), hosts.end(),
                    [&from](const host_record& host) { return host.datagram_address.ip == from; });
    const std::vector<network_address> listed = upstreams_.addresses();
    const bool to_upstream = std::find(listed.begin(), listed.end(), upstream) != listed.end();
    return from_host && to_upstream ? status_ok : status_forbidden;
}

}  // namespace fuchsiaquay
