#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "drivers/json/json_contract_format.hpp"
#include "servers/contracts/contract_watcher.hpp"
#include "servers/contracts/data_centre_peers.hpp"
#include "servers/peer_transport.hpp"
#include "tests/servers/recording_log.hpp"
#include "tests/servers/store/fake_store.hpp"
#include "tests/servers/virtual_timer_service.hpp"

namespace fuchsiaquay::testing {

class contract_fleet;

/// One node of the fleet: its registry, its watcher and its connection to the network.
class fleet_node final : public peer_transport, public data_centre_peers {
public:
    fleet_node(contract_fleet& fleet, std::string name);

    void send(const member_update& to, const peer_message& message) override;
    void on_message(handler) override {}
    host_id self() const override { return host_id(name_); }
    data_centre_id data_centre() const override { return data_centre_id("dc"); }
    std::vector<member_update> live() const override;

    const std::string& name() const { return name_; }
    contract_registry& registry() { return registry_; }
    contract_watcher& watcher() { return watcher_; }
    /// Revision of a customer's contract; 0 if there is none.
    std::int64_t holds(const std::string& customer) const {
        const auto found = registry_.table()->find(customer_id(customer));
        return found ? found->revision : 0;
    }

private:
    contract_fleet& fleet_;
    std::string name_;
    contract_registry registry_{std::chrono::seconds(10)};
    contract_watcher watcher_;
};

/// Nodes of one data centre on a network that delays, reorders and loses messages.
class contract_fleet {
public:
    explicit contract_fleet(std::size_t nodes, std::uint64_t seed = 5) : random_(seed) {
        for (std::size_t i = 0; i < nodes; ++i) {
            start("n" + std::to_string(i));
        }
    }

    void start(const std::string& name) {
        nodes_[name] = std::make_shared<fleet_node>(*this, name);
        nodes_[name]->watcher().start();
    }
    void kill(const std::string& name) { nodes_.erase(name); }

    void deliver(const std::string& from, const std::string& to, const contract_update& message) {
        ++messages;
        if (std::uniform_real_distribution<double>(0.0, 1.0)(random_) < loss ||
            partitioned.count(from) != partitioned.count(to)) {
            return;
        }
        const duration delay(std::uniform_int_distribution<std::int64_t>(
            shortest_delay.count(), longest_delay.count())(random_));
        timers.after(delay, [this, from, to, message] {
            const auto found = nodes_.find(to);
            if (found != nodes_.end()) {
                const std::shared_ptr<fleet_node> node = found->second;
                node->watcher().receive(host_id(from), message);
            }
        });
    }

    /// Writes a contract with this weight to the store, as the editor does.
    std::int64_t put(const std::string& customer, int weight) {
        return write({{"fuchsiaquay/contracts/" + customer, text(customer, weight), false, 0},
                      {"fuchsiaquay/contracts_index", R"({"changes":1})", false, 0}});
    }
    std::int64_t erase(const std::string& customer) {
        return write({{"fuchsiaquay/contracts/" + customer, "", true, 0},
                      {"fuchsiaquay/contracts_index", R"({"changes":1})", false, 0}});
    }
    static std::string text(const std::string& customer, int weight) {
        return R"({"customer":")" + customer + R"(","weight":)" + std::to_string(weight) +
               R"(,"ranks":[{"name":"r","level":0,"first_token_target_ms":1,"deadline_ms":2}]})";
    }

    /// Number of nodes that have this revision of the contract of `customer`.
    std::size_t holding(const std::string& customer, std::int64_t revision) const {
        std::size_t count = 0;
        for (const auto& [name, node] : nodes_) {
            count += node->holds(customer) == revision ? 1 : 0;
        }
        return count;
    }
    std::size_t count_in_state(contract_sync_state wanted) const {
        std::size_t count = 0;
        for (const auto& [name, node] : nodes_) {
            count += node->watcher().freshness().sync_state == wanted ? 1 : 0;
        }
        return count;
    }
    std::size_t watching() const {
        std::size_t count = 0;
        for (const auto& [name, node] : nodes_) {
            count += node->watcher().watching() ? 1 : 0;
        }
        return count;
    }
    fleet_node& node(const std::string& name) { return *nodes_.at(name); }
    std::size_t size() const { return nodes_.size(); }
    std::vector<std::string> names() const {
        std::vector<std::string> found;
        for (const auto& [name, node] : nodes_) {
            found.push_back(name);
        }
        return found;
    }

    virtual_timer_service timers;
    fake_store store{timers};
    json_contract_format format;
    recording_log log;
    contract_watcher_settings settings;
    double loss = 0.0;
    duration shortest_delay = std::chrono::milliseconds(1);
    duration longest_delay = std::chrono::milliseconds(2);
    /// Nodes partitioned from the others.
    std::set<std::string> partitioned;
    int messages = 0;

private:
    std::int64_t write(std::vector<transaction::write> writes) {
        transaction change;
        change.writes = std::move(writes);
        return store.write_now(change);
    }

    std::mt19937_64 random_;
    std::map<std::string, std::shared_ptr<fleet_node>> nodes_;
};

inline fleet_node::fleet_node(contract_fleet& fleet, std::string name)
    : fleet_(fleet),
      name_(std::move(name)),
      watcher_(registry_, fleet.store, fleet.timers, *this, *this, fleet.format, fleet.log,
               fleet.settings) {}

inline void fleet_node::send(const member_update& to, const peer_message& message) {
    fleet_.deliver(name_, to.host.value(), std::get<contract_update>(message));
}

inline std::vector<member_update> fleet_node::live() const {
    std::vector<member_update> hosts;
    for (const std::string& name : fleet_.names()) {
        member_update update;
        update.host = host_id(name);
        hosts.push_back(update);
    }
    if (hosts.empty()) {
        member_update own;
        own.host = self();
        hosts.push_back(own);
    }
    return hosts;
}

}  // namespace fuchsiaquay::testing
