#include "main/control_plane.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/directory/directory_settings.hpp"
#include "core/error/operation_error.hpp"
#include "core/hashing/rendezvous.hpp"
#include "core/membership/member_change.hpp"
#include "core/upstreams/upstream_override.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/json/node_record.hpp"
#include "drivers/json/upstream_codec.hpp"
#include "main/node_settings.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

namespace {

/// The store removes the record of a host this long after its last lease renewal.
constexpr duration lease_lifetime = std::chrono::seconds(30);
/// Period of reading the operators' upstream records from the store.
constexpr duration upstream_record_period = std::chrono::seconds(1);
/// Hosts of a data centre that keep their record in the store. Limited, so that the load on the
/// store does not grow with the fleet.
constexpr std::size_t max_registered_hosts = 3;
constexpr duration keep_alive_period = std::chrono::seconds(10);
/// Contracts that were not proved current for this long are reported as `unproved`.
constexpr duration contract_freshness_limit = std::chrono::seconds(5);
const char* const node_prefix = "fuchsiaquay/nodes/";

transport_settings make_transport_settings(const node_settings& settings,
                                           std::uint64_t incarnation) {
    transport_settings result;
    result.self = host_id(settings.host);
    result.address = settings.address;
    result.port = settings.peer_listen_port;
    result.advertised_port = settings.peer_port;
    result.incarnation = incarnation;
    result.keys.current = settings.cluster_key;
    result.keys.secondary = settings.secondary_cluster_key;
    return result;
}

member_update make_self(const node_settings& settings, std::uint64_t incarnation) {
    member_update self;
    self.host = host_id(settings.host);
    self.data_centre = data_centre_id(settings.data_centre);
    self.address = settings.address;
    self.peer_port = settings.peer_port;
    self.http_port = settings.http_port;
    self.incarnation = incarnation;
    return self;
}

/// `host@address:peer_port@data_centre`
member_update parse_seed(const std::string& text) {
    const std::size_t first_at = text.find('@');
    const std::size_t colon = text.find(':', first_at + 1);
    const std::size_t second_at = text.find('@', colon + 1);
    if (first_at == std::string::npos || colon == std::string::npos ||
        second_at == std::string::npos) {
        throw operation_error("read seeds", text, "expected host@address:peer_port@data_centre");
    }
    member_update peer;
    peer.host = host_id(text.substr(0, first_at));
    peer.address = text.substr(first_at + 1, colon - first_at - 1);
    peer.peer_port =
        static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1, second_at - colon - 1)));
    peer.data_centre = data_centre_id(text.substr(second_at + 1));
    return peer;
}

std::vector<member_update> parse_seeds(const std::vector<std::string>& texts) {
    std::vector<member_update> peers;
    peers.reserve(texts.size());
    for (const std::string& text : texts) {
        peers.push_back(parse_seed(text));
    }
    return peers;
}

std::string platform_uri(const node_settings& settings) {
    return "http://" + settings.platform_address + ":" + std::to_string(settings.platform_port);
}

contract_watcher_settings make_watcher_settings(const node_settings& settings) {
    contract_watcher_settings result;
    result.seed = settings.seed;
    return result;
}

upstream_override make_override(const operator_upstream& record) {
    upstream_override result;
    result.id = record.value.id;
    result.drained = record.wish != operator_wish::serve;
    if (record.described) {
        result.added = record.value;
    }
    return result;
}

journal_settings make_journal_settings(const node_settings& settings) {
    journal_settings result;
    result.writes_per_second = static_cast<double>(settings.journal_writes_per_second);
    return result;
}

}  // namespace

control_plane::control_plane(const node_settings& settings, std::uint64_t incarnation,
                             control_loop& loop, decision_log& log)
    : loop_(loop),
      log_(log),
      store_(loop, platform_uri(settings), settings.platform_timeout),
      transport_(loop.context(), loop, log, make_transport_settings(settings, incarnation)),
      members_(loop, transport_, log, membership_settings(), make_self(settings, incarnation),
               settings.seed),
      hosts_(members_, transport_),
      registry_(contract_freshness_limit),
      contracts_(registry_),
      watcher_(registry_, store_, loop, transport_, hosts_, format_, log,
               make_watcher_settings(settings)),
      editor_(store_, loop, format_, settings.host + "-" + std::to_string(incarnation)),
      journal_(make_journal_settings(settings), {host_id(settings.host), incarnation}, store_, loop,
               clock_, shard_codec_, hosts_),
      host_list_(loop, platform_uri(settings), settings.platform_timeout),
      upstreams_(loop, transport_, log, members_, host_list_, settings.host_list_period),
      limits_(loop, transport_, hosts_, contracts_, log, directory_settings().hosts_per_customer),
      seeds_(parse_seeds(settings.seeds)) {
    members_.set_seed_peers(seeds_);
    members_.on_change([this](const member_change&) { notify_topology_change(); });
    upstreams_.on_change([this] { notify_topology_change(); });
    editor_.on_accepted([this](const contract_change& change) { watcher_.apply_local(change); });
    watcher_.start();
    read_seed_peers();
    register_host();
    limits_.start();
    loop.every(upstream_record_period, [this] { read_upstream_records(); });
    loop.every(keep_alive_period, [this] { renew_registration(); });
}

control_plane::~control_plane() = default;

void control_plane::notify_topology_change() const {
    if (on_topology_change_) {
        on_topology_change_();
    }
}

void control_plane::read_upstream_records() {
    if (!upstreams_.is_poller()) {
        return;
    }
    store_.read_prefix(operator_upstream_prefix, [this](const read_result& result) {
        if (!result.ok()) {
            return;
        }
        std::vector<upstream_override> overrides;
        for (const stored_value& value : result.values) {
            try {
                overrides.push_back(make_override(parse_operator_upstream(value.value)));
            } catch (const operation_error& error) {
                log_.write(decision_log::level::warning, "upstream_record_unreadable",
                           {{"key", value.key}, {"error", error.what()}});
            }
        }
        upstreams_.set_overrides(std::move(overrides));
    });
}

void control_plane::read_seed_peers() {
    store_.read_prefix(node_prefix, [this](const read_result& result) {
        std::vector<member_update> peers = seeds_;
        for (const stored_value& value : result.values) {
            try {
                peers.push_back(parse_node_record(value.value));
            } catch (const operation_error& error) {
                log_.write(decision_log::level::warning, "node_record_unreadable",
                           {{"key", value.key}, {"error", error.what()}});
            }
        }
        members_.set_seed_peers(peers);
    });
}

void control_plane::register_host() {
    store_.grant_lease(lease_lifetime, [this](std::int64_t lease) {
        if (lease == 0) {
            return;
        }
        lease_ = lease;
        transaction change;
        const std::string key = node_prefix + members_.self().host.value();
        change.writes.push_back({key, print_node_record(members_.self()), false, lease});
        // Reads the peers again: of two hosts that start at the same time, the later one to
        // register finds the earlier one.
        store_.commit(change, [this](const write_result&) { read_seed_peers(); });
    });
}

bool control_plane::is_registered_host() const {
    std::vector<host_id> live;
    for (const member_update& member : hosts_.live()) {
        live.push_back(member.host);
    }
    const std::vector<host_id> registered =
        rendezvous_order(node_prefix + hosts_.data_centre().value(), live, max_registered_hosts);
    return std::find(registered.begin(), registered.end(), hosts_.self()) != registered.end();
}

void control_plane::renew_registration() {
    if (!is_registered_host()) {
        return;
    }
    if (lease_ == 0) {
        register_host();
        return;
    }
    store_.keep_alive(lease_, [this](bool held) {
        if (!held) {
            lease_ = 0;
        }
    });
}

}  // namespace fuchsiaquay
