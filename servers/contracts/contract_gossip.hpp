#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "core/contract/contract_registry.hpp"
#include "core/messages/contract_update.hpp"
#include "core/messages/member_update.hpp"
#include "servers/contracts/contract_watcher_settings.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class contract_feed;
class contract_applier;
class data_centre_peers;
class peer_transport;

/// Distributes contracts within a data centre. It pushes each change to a few peers and
/// periodically compares its position with a watcher to recover changes that the pushes missed.
class contract_gossip {
public:
    contract_gossip(contract_registry& registry, contract_applier& applier,
                    const contract_feed& feed, timer_service& timers, peer_transport& transport,
                    const data_centre_peers& peers, const contract_watcher_settings& settings);

    /// Sends a change to a few peers.
    /// @param previous  revision such that no change lies between it and `change`; equal to the
    ///                  revision of `change` if nothing is known about earlier changes
    /// @param except    host that the change came from
    void push(const contract_change& change, std::int64_t previous, const host_id& except);
    /// Sends this node's position to a watcher, or to any peer while this node is catching up.
    void compare();
    /// Time until the next comparison.
    duration compare_period() const;
    void receive(const host_id& sender, const contract_update& message);
    /// Clears the registry and fills it from a peer. Used if this node cannot catch up from the
    /// store.
    void fill_from_peer();
    bool filling() const { return filling_ && !registry_.caught_up(); }
    /// Whether the last peer that was asked has answered, or none was asked.
    bool answered() const noexcept { return answered_; }
    /// Whether a peer has confirmed, since the start, that this node knows at least as much.
    bool agreed() const noexcept { return agreed_; }
    /// Hosts of the data centre that watch the store. Every host computes the same result.
    std::vector<host_id> elected() const;

private:
    void receive_position(const host_id& sender, const contract_update& message);
    void receive_change(const host_id& sender, const contract_update& message);
    void delete_stale(std::int64_t revision);
    void send_changes(const member_update& to, std::int64_t cursor);
    void send_position(const member_update& to);
    std::vector<member_update> other_hosts() const;
    member_update random_choice(const std::vector<member_update>& hosts);

    contract_registry& registry_;
    contract_applier& applier_;
    const contract_feed& feed_;
    timer_service& timers_;
    peer_transport& transport_;
    const data_centre_peers& peers_;
    const contract_watcher_settings& settings_;
    std::mt19937_64 random_;
    host_id asked_host_;
    bool filling_ = false;
    bool answered_ = true;
    bool agreed_ = false;
};

}  // namespace fuchsiaquay
