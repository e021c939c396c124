#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/contract/contract.hpp"
#include "servers/limits/limit_service.hpp"
#include "servers/peer_transport.hpp"
#include "servers/views/contract_view.hpp"
#include "servers/views/host_view.hpp"
#include "tests/servers/recording_log.hpp"
#include "tests/servers/virtual_timer_service.hpp"

namespace fuchsiaquay::testing {

class limit_fleet;

/// One host with its view of the other hosts, its connection to the network and its limit service.
class limit_node final : public peer_transport, public host_view, public contract_view {
public:
    limit_node(limit_fleet& fleet, const std::string& name);

    void send(const member_update& to, const peer_message& message) override;
    void on_message(handler) override {}
    const member_update& host() const override { return self_; }
    std::vector<member_update> live_hosts() const override;
    std::optional<member_update> find(const host_id& host) const override;
    std::shared_ptr<const contract> find_by_key(const std::string&) const override;
    std::shared_ptr<const contract> find(const customer_id&) const override;
    bool ready() const override { return true; }

    limit_service& service() { return service_; }
    /// Hosts that this host considers live.
    std::set<std::string> sees;

private:
    limit_fleet& fleet_;
    member_update self_;
    limit_service service_;
};

/// Hosts that serve one customer, in virtual time.
class limit_fleet {
public:
    static constexpr duration message_delay = std::chrono::milliseconds(2);
    /// Time from a failure until the membership shows it.
    static constexpr duration detection = std::chrono::seconds(4);

    limit_fleet(int hosts, const customer_limits& limits) {
        auto value = std::make_shared<contract>();
        value->customer = customer_id("a");
        value->limits = limits;
        terms = value;
        for (int i = 0; i < hosts; ++i) {
            const std::string name = "h" + std::to_string(i);
            nodes[name] = std::make_shared<limit_node>(*this, name);
        }
        for (auto& [name, node] : nodes) {
            for (const auto& other : nodes) {
                node->sees.insert(other.first);
            }
            node->service().start();
        }
        timers.advance(std::chrono::seconds(30));
    }

    /// From now on sends `rate` requests per second to one host.
    void offer(const std::string& host, double rate, double tokens, duration length) {
        timers.every(from_seconds(1.0 / rate), [this, host, tokens, length] {
            const auto found = nodes.find(host);
            if (found != nodes.end()) {
                request(found->second, tokens, length);
            }
        });
    }

    void kill(const std::string& host) {
        const std::shared_ptr<limit_node> dead = nodes.at(host);
        dead->service().stop();
        killed_nodes.push_back(dead);
        nodes.erase(host);
        timers.after(detection, [this, host] {
            for (auto& [name, node] : nodes) {
                node->sees.erase(host);
            }
        });
    }

    /// Partitions the hosts. The memberships of the sides detect it at different times.
    void partition(const std::vector<std::set<std::string>>& sides) {
        sides_ = sides;
        duration detected_after = detection;
        for (const auto& side : sides) {
            timers.after(detected_after, [this, side] {
                for (const std::string& name : side) {
                    nodes.at(name)->sees = side;
                }
            });
            detected_after += std::chrono::seconds(2);
        }
    }

    void heal() {
        sides_.clear();
        for (auto& [name, node] : nodes) {
            for (const auto& other : nodes) {
                node->sees.insert(other.first);
            }
        }
    }

    void deliver(const std::string& from, const std::string& to, const peer_message& message) {
        for (const auto& side : sides_) {
            if (side.count(from) != side.count(to)) {
                return;
            }
        }
        timers.after(message_delay, [this, from, to, message] {
            const auto found = nodes.find(to);
            if (found == nodes.end()) {
                return;
            }
            const std::shared_ptr<limit_node> node = found->second;
            if (const auto* request = std::get_if<budget_request>(&message)) {
                node->service().receive(host_id(from), *request);
            } else if (const auto* grant = std::get_if<budget_grant>(&message)) {
                node->service().receive(host_id(from), *grant);
            }
        });
    }

    /// Limit keeper according to `host`.
    std::string keeper(const std::string& host) {
        const auto usage = nodes.at(host)->service().usage();
        return usage.empty() ? "" : usage.front().keeper.value();
    }

    /// Resets the measurements.
    void measure() {
        admitted.clear();
        most_running = running;
        tokens_admitted = 0.0;
    }
    /// Largest number of requests admitted in any window of this length since `measure`.
    std::size_t most_in(duration window) const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last) {
            while (admitted[last] - admitted[first] >= window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    virtual_timer_service timers;
    recording_log log;
    std::shared_ptr<const contract> terms;
    std::map<std::string, std::shared_ptr<limit_node>> nodes;
    std::vector<std::shared_ptr<limit_node>> killed_nodes;
    std::vector<instant> admitted;
    double tokens_admitted = 0.0;
    int running = 0;
    int most_running = 0;

private:
    void request(const std::shared_ptr<limit_node>& node, double tokens, duration length) {
        if (!node->service().admit(*terms, tokens).admitted()) {
            return;
        }
        admitted.push_back(timers.now());
        tokens_admitted += tokens;
        most_running = std::max(most_running, ++running);
        // Hosts, including killed ones, live as long as the timers, so the pointer stays valid.
        limit_node* const serving = node.get();
        timers.after(length, [this, serving, tokens] {
            --running;
            serving->service().finish(customer_id("a"), tokens, tokens);
        });
    }

    std::vector<std::set<std::string>> sides_;
};

inline limit_node::limit_node(limit_fleet& fleet, const std::string& name)
    : fleet_(fleet), service_(fleet.timers, *this, *this, *this, fleet.log, 3) {
    self_.host = host_id(name);
    sees.insert(name);
}

inline void limit_node::send(const member_update& to, const peer_message& message) {
    fleet_.deliver(self_.host.value(), to.host.value(), message);
}

inline std::vector<member_update> limit_node::live_hosts() const {
    std::vector<member_update> hosts;
    for (const std::string& name : sees) {
        hosts.push_back(*find(host_id(name)));
    }
    return hosts;
}

inline std::optional<member_update> limit_node::find(const host_id& host) const {
    member_update update;
    update.host = host;
    return sees.count(host.value()) != 0 ? std::optional<member_update>(update) : std::nullopt;
}

inline std::shared_ptr<const contract> limit_node::find_by_key(const std::string&) const {
    return fleet_.terms;
}

inline std::shared_ptr<const contract> limit_node::find(const customer_id&) const {
    return fleet_.terms;
}

}  // namespace fuchsiaquay::testing
