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

/// Spreads contracts inside a data centre: pushes each change to a few peers, and compares
/// positions with a watcher now and then, which repairs what the pushes missed.
class contract_gossip {
public:
    contract_gossip(contract_registry& registry, contract_applier& applier,
                    const contract_feed& feed, timer_service& timers, peer_transport& transport,
                    const data_centre_peers& peers, const contract_watcher_settings& settings);

    /// Sends a change to a few peers.
    /// @param previous  no change lies between it and the change; equal to its revision for no
    ///                  claim
    /// @param except    host that it came from
    void push(const contract_change& change, std::int64_t previous, const host_id& except);
    /// Sends the own position to a watcher, or to any peer while this node is catching up.
    void compare();
    /// Time until the next comparison.
    duration compare_period() const;
    void receive(const host_id& sender, const contract_update& message);
    /// Forgets what has been read and fills the book from a peer; for a node that cannot catch up
    /// from the store.
    void fill_from_peer();
    bool filling() const { return filling_ && !registry_.caught_up(); }
    /// Whether the peer asked last has answered, or none was asked.
    bool answered() const noexcept { return answered_; }
    /// Whether a peer has confirmed since the start that this node knows as much as it does.
    bool agreed() const noexcept { return agreed_; }
    /// Hosts of the data centre that watch the store, chosen by the same rule on every host.
    std::vector<host_id> elected() const;

private:
    void receive_position(const host_id& sender, const contract_update& message);
    void receive_change(const host_id& sender, const contract_update& message);
    void delete_stale(std::int64_t revision);
    void send_changes(const member_update& to, std::int64_t cursor);
    void send_position(const member_update& to);
    std::vector<member_update> others() const;
    member_update random_of(const std::vector<member_update>& hosts);

    contract_registry& registry_;
    contract_applier& applier_;
    const contract_feed& feed_;
    timer_service& timers_;
    peer_transport& transport_;
    const data_centre_peers& peers_;
    const contract_watcher_settings& settings_;
    std::mt19937_64 random_;
    host_id asked_;
    bool filling_ = false;
    bool answered_ = true;
    bool agreed_ = false;
};

}  // namespace fuchsiaquay
