#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/error/operation_error.hpp"
#include "core/fleet/fleet_configuration.hpp"
#include "servers/fleet/configuration_codec.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/datagram_channel.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/evacuation_feed.hpp"
#include "servers/fleet/host_queries.hpp"
#include "servers/fleet/host_registry.hpp"
#include "servers/fleet/serving_role.hpp"
#include "servers/fleet/store_view_sync.hpp"
#include "servers/fleet/upstream_codec.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/store/mirror_listeners.hpp"
#include "servers/store/prefix_mirror.hpp"
#include "tests/servers/recording_log.hpp"
#include "tests/servers/store/scripted_store.hpp"
#include "tests/servers/virtual_timer_service.hpp"

namespace fuchsiaquay::testing {

/// Delivers datagrams between virtual hosts by address. Tests can disconnect addresses.
class virtual_network {
public:
    explicit virtual_network(timer_service& timers) : timers_(timers) {}

    void send(const std::string& from, const network_address& to, const peer_datagram& message) {
        ++sent[{from, to.ip}];
        const auto* reply = std::get_if<view_reply>(&message);
        if (reply != nullptr && reply->catalogue.changes.size() > max_changes) {
            return;
        }
        const bool overtaken = overtaking && sent[{from, to.ip}] % 2 == 1;
        timers_.after(overtaken ? delay * 2 : delay, [this, from, to, message] {
            const auto found = receivers.find(to.ip);
            if (found != receivers.end() && disconnected.count(from) == 0 &&
                disconnected.count(to.ip) == 0) {
                found->second(message);
            }
        });
    }

    std::map<std::string, datagram_channel::handler> receivers;
    /// Number of catalogue changes that fit into a datagram of 64 KB.
    static constexpr std::size_t max_changes = 600;
    /// Disconnected addresses, which neither send nor receive.
    std::set<std::string> disconnected;
    duration delay = std::chrono::milliseconds(2);
    /// If true, every other datagram between two hosts takes twice as long.
    bool overtaking = false;
    /// Number of datagrams by sender and receiver.
    std::map<std::pair<std::string, std::string>, int> sent;

private:
    timer_service& timers_;
};

class virtual_channel final : public datagram_channel {
public:
    virtual_channel(virtual_network& network, std::string ip)
        : network_(network), ip_(std::move(ip)) {}
    void send(const std::vector<network_address>& to, const peer_datagram& message) override {
        for (const network_address& address : to) {
            network_.send(ip_, address, message);
        }
    }
    void on_receive(handler receive) override { network_.receivers[ip_] = std::move(receive); }

private:
    virtual_network& network_;
    std::string ip_;
};

/// Decodes configurations whose text is their version.
class version_codec final : public configuration_codec {
public:
    std::shared_ptr<const fleet_configuration> decode(const std::string& text) const override {
        return std::make_shared<fleet_configuration>(std::stoll(text), caller_limits(), true);
    }
};

class ready_codec final : public upstream_codec {
public:
    upstream_entry decode(const std::string& id, const std::string& text) const override {
        if (text != "ready" && text != "draining") {
            throw operation_error("decode", id, "unreadable");
        }
        upstream_entry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = {"10.9.0.1", 80};
        entry.state = text == "ready" ? upstream_state::ready : upstream_state::draining;
        return entry;
    }
};

struct virtual_host;

/// Hosts that share one store and run in virtual time.
struct virtual_hosts {
    virtual_timer_service timers;
    recording_log log;
    scripted_store store{timers};
    virtual_network network{timers};
    version_codec configurations;
    ready_codec upstreams;
    serving_settings serving;
    std::map<std::string, std::unique_ptr<virtual_host>> hosts;

    inline virtual_host& add(const std::string& name, const std::string& data_centre,
                             double processor_share = 0.25);
    inline int watchers() const;
    inline std::vector<std::string> serving_hosts() const;

    int added_ = 0;
    /// If true, hosts return their configuration only if the request accepts any size.
    bool large_configuration = false;
    /// Whether the deployment uses evacuations, read from the keys with prefix `config/evacuate/`.
    bool with_evacuations = false;
};

/// The components of a host that keep its copies of the store's data and its serving role.
struct virtual_host final : public host_queries {
    virtual_host(virtual_hosts& fleet, const host_record& record)
        : fleet_(fleet),
          channel(fleet.network, record.datagram_address.ip),
          configuration(fleet.configurations, fleet.log, "config"),
          evacuations(fleet.log, "config/evacuate/", fleet.with_evacuations),
          operator_values({&configuration, &evacuations}),
          configuration_mirror(fleet.store, fleet.timers, fleet.log, operator_values, "config", {}),
          upstreams(fleet.upstreams, fleet.timers, fleet.log, "servers/"),
          upstream_mirror(fleet.store, fleet.timers, fleet.log, upstreams, "servers/", {}),
          work_table(record.host),
          registry(
              record, fleet.store, channel, fleet.timers, fleet.log, work_table, "hosts/",
              [this] {
                  if (!configuration_mirror.fresh()) {
                      return host_state::unready;
                  }
                  return role.stepping_down() ? host_state::standby : host_state::ready;
              },
              [this] {
                  return std::max(configuration.revision(), evacuations.current().revision());
              }),
          role(record, fleet.serving, std::chrono::seconds(6), registry, fleet.timers, fleet.log,
               [this] { return load; }),
          views(record,
                {fleet.timers, fleet.log, registry, role, channel, *this, fleet.store,
                 configuration, configuration_mirror, evacuations, upstreams, upstream_mirror}) {
        channel.on_receive([this](const peer_datagram& message) {
            if (const auto* heard = std::get_if<announcement>(&message)) {
                registry.receive(*heard);
            } else if (const auto* request = std::get_if<view_request>(&message)) {
                views.handle_request(*request);
            } else if (const auto* reply = std::get_if<view_reply>(&message)) {
                views.handle_reply(*reply);
            }
        });
        registry.start();
        role.start();
        views.start();
    }

    void fetch_configuration(const network_address& host, std::int64_t known, bool any_size,
                             configuration_handler done) override {
        configuration_answer value;
        for (const auto& [name, other] : fleet_.hosts) {
            if (other->registry_address == host.ip &&
                fleet_.network.disconnected.count(host.ip) == 0) {
                value = other->configuration.answer_for(known);
            }
        }
        if (fleet_.large_configuration && !any_size) {
            value = {};
        }
        fleet_.timers.after(std::chrono::milliseconds(5),
                            [done = std::move(done), value] { done(value); });
    }

    void fetch_catalogue(const network_address& host, std::int64_t known,
                         catalogue_handler done) override {
        catalogue_delta value;
        for (const auto& [name, other] : fleet_.hosts) {
            if (other->registry_address == host.ip &&
                fleet_.network.disconnected.count(host.ip) == 0) {
                value = other->upstreams.changes_after(known);
            }
        }
        fleet_.timers.after(std::chrono::milliseconds(5),
                            [done = std::move(done), value] { done(value); });
    }

    std::int64_t version() const {
        return configuration.current() ? configuration.current()->version() : 0;
    }

    virtual_hosts& fleet_;
    std::string registry_address;
    virtual_channel channel;
    configuration_feed configuration;
    evacuation_feed evacuations;
    mirror_listeners operator_values;
    prefix_mirror configuration_mirror;
    upstream_registry upstreams;
    prefix_mirror upstream_mirror;
    engine_work_table work_table;
    host_registry registry;
    host_load load;
    serving_role role;
    store_view_sync views;
};

virtual_host& virtual_hosts::add(const std::string& name, const std::string& data_centre,
                                 double processor_share) {
    host_record record;
    record.host = name;
    record.data_centre = data_centre;
    record.processor_share = processor_share;
    const std::string ip = "10.0.0." + std::to_string(++added_);
    record.caller_address = {ip, 80};
    record.datagram_address = {ip, 81};
    record.query_address = {ip, 82};
    auto host = std::make_unique<virtual_host>(*this, record);
    host->registry_address = ip;
    return *(hosts[name] = std::move(host));
}

int virtual_hosts::watchers() const {
    int count = 0;
    for (const auto& [name, host] : hosts) {
        count += host->views.watches_store() ? 1 : 0;
    }
    return count;
}

std::vector<std::string> virtual_hosts::serving_hosts() const {
    std::vector<std::string> names;
    for (const auto& [name, host] : hosts) {
        if (host->role.serving() && network.disconnected.count(host->registry_address) == 0) {
            names.push_back(name);
        }
    }
    return names;
}

}  // namespace fuchsiaquay::testing
