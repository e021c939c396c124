#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/membership/membership.hpp"

namespace fuchsiaquay {

/// Simulates a fleet of memberships in virtual time, with delays, pauses, crashes and partitions.
class virtual_fleet {
public:
    struct node {
        std::unique_ptr<membership> logic;
        bool running = true;
        instant paused_until{};
        instant next_tick{};
        std::vector<std::pair<host_id, gossip_message>> inbox;
    };
    using send_observer = std::function<void(const host_id& from, const outgoing_gossip& out)>;
    using change_observer = std::function<void(const host_id& at, const member_change& change)>;

    explicit virtual_fleet(std::uint64_t seed) : random_(seed) {}

    static host_id name(int index) { return host_id("host-" + std::to_string(index)); }
    static data_centre_id centre(int index) {
        return data_centre_id("centre-" + std::to_string(index));
    }

    /// Adds hosts, assigned to the data centres in turn. The first three hosts are the seed peers.
    void add_hosts(int hosts, int data_centres) {
        for (int i = 0; i < hosts; ++i) {
            start(i, i % data_centres, 1000);
        }
    }

    void start(int index, int data_centre, std::uint64_t incarnation) {
        member_update self = address(index);
        self.host = name(index);
        self.data_centre = centre(data_centre);
        self.incarnation = incarnation;
        node& made = nodes_[self.host];
        made = node();
        made.logic = std::make_unique<membership>(settings, self, random_(), now);
        made.logic->set_seed_peers({address(0), address(1), address(2)});
        made.next_tick = now + duration(static_cast<std::int64_t>(random_() % 100000));
    }

    /// Messages for which this returns true are lost.
    std::function<bool(const member_update& from, const member_update& to)> cut;
    send_observer on_send;
    change_observer on_change;
    membership_settings settings;
    instant now{};

    node& at(int index) { return nodes_.at(name(index)); }
    membership& logic(int index) { return *at(index).logic; }
    std::map<host_id, node>& nodes() { return nodes_; }
    void crash(int index) { at(index).running = false; }
    void pause(int index, duration length) { at(index).paused_until = now + length; }

    /// True if each running host lists exactly the running ones as live in each data centre.
    bool converged() {
        std::map<data_centre_id, std::vector<host_id>> expected;
        for (const auto& [host, member] : nodes_) {
            if (member.running) {
                expected[member.logic->self().data_centre].push_back(host);
            }
        }
        for (const auto& [host, member] : nodes_) {
            if (!member.running) {
                continue;
            }
            for (const auto& [data_centre, hosts] : expected) {
                if (member.logic->live_hosts(data_centre, now) != hosts) {
                    return false;
                }
            }
        }
        return true;
    }

    /// Runs until `done` returns true or `limit` has passed. Returns the elapsed time.
    duration run_until(const std::function<bool()>& done, duration limit) {
        const instant start = now;
        while (now - start < limit && !done()) {
            run(step);
        }
        return now - start;
    }

    void run(duration span) {
        const instant end = now + span;
        while (now < end) {
            now += step;
            deliver();
            for (auto& [host, member] : nodes_) {
                advance(member);
            }
        }
    }

private:
    struct delivery {
        instant due{};
        std::uint64_t order = 0;
        host_id from;
        member_update from_update;
        outgoing_gossip out;
        bool operator<(const delivery& other) const {
            return std::pair(other.due, other.order) < std::pair(due, order);
        }
    };
    static constexpr duration step = std::chrono::milliseconds(10);
    static constexpr duration tick = std::chrono::milliseconds(100);

    static member_update address(int index) {
        member_update update;
        update.address = "10.0.0." + std::to_string(index);
        update.peer_port = 7000;
        update.http_port = 8080;
        return update;
    }

    std::map<host_id, node>::iterator find(const member_update& to) {
        if (!to.host.empty()) {
            return nodes_.find(to.host);
        }
        return std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
            return entry.second.logic->self().address == to.address;
        });
    }

    void deliver() {
        while (!network_.empty() && network_.top().due <= now) {
            const delivery next = network_.top();
            network_.pop();
            const auto found = find(next.out.to);
            if (found == nodes_.end() || !found->second.running) {
                continue;
            }
            if (!cut || !cut(next.from_update, found->second.logic->self())) {
                found->second.inbox.emplace_back(next.from, next.out.message);
            }
        }
    }

    void advance(node& member) {
        if (!member.running || member.paused_until > now) {
            return;
        }
        if (member.next_tick <= now) {
            member.next_tick = now + tick;
            member.logic->tick(now);
        }
        for (const auto& [sender, message] : std::exchange(member.inbox, {})) {
            member.logic->receive(sender, message, now);
        }
        collect(member);
    }

    void collect(node& member) {
        const member_update& self = member.logic->self();
        for (outgoing_gossip& out : member.logic->take_outgoing()) {
            if (on_send) {
                on_send(self.host, out);
            }
            network_.push(delivery{now + std::chrono::milliseconds(1), ++order_, self.host, self,
                                   std::move(out)});
        }
        for (const member_change& change : member.logic->take_changes()) {
            if (on_change) {
                on_change(self.host, change);
            }
        }
    }

    std::mt19937_64 random_;
    std::map<host_id, node> nodes_;
    std::priority_queue<delivery> network_;
    std::uint64_t order_ = 0;
};

}  // namespace fuchsiaquay
