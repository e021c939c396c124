#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/membership/bridge_selector.hpp"
#include "core/membership/data_centre_monitor.hpp"
#include "core/membership/member_table.hpp"
#include "core/membership/membership_settings.hpp"
#include "core/membership/outgoing_gossip.hpp"
#include "core/membership/probe_round.hpp"
#include "core/membership/update_queue.hpp"

namespace fuchsiaquay {

/// SWIM-style membership. Each host probes the hosts of its data centre in turn. A host that
/// answers neither direct nor indirect probes becomes suspect, and is declared dead unless it
/// refutes the suspicion in time with a higher incarnation. Updates are piggybacked on the probes.
/// A few bridge hosts of each data centre exchange updates with the other data centres. This class
/// performs no I/O: call `tick` about every 100 ms, then send the messages of `take_outgoing` and
/// report the changes of `take_changes`.
class membership {
public:
    /// @param self  this host; its incarnation must be higher than that of any earlier process
    membership(membership_settings settings, member_update self, std::uint64_t seed, instant now);

    /// Replaces the seed peers. Only address and port are required; the host may be empty.
    void set_seed_peers(std::vector<member_update> peers);
    void tick(instant now);
    void receive(const host_id& sender, const gossip_message& message, instant now);
    /// Announces that this host accepts no new callers but finishes its current work.
    void leave(instant now);
    /// Announces that this process exits.
    void stop(instant now);

    std::vector<outgoing_gossip> take_outgoing();
    std::vector<member_change> take_changes();

    const member_update& self() const noexcept { return self_; }
    const member_table& members() const noexcept { return table_; }
    /// Hosts of a data centre that are alive or suspect. Empty while the data centre is
    /// unreachable.
    std::vector<host_id> live_hosts(const data_centre_id& data_centre, instant now) const;
    bool reachable(const data_centre_id& data_centre, instant now) const;
    bool is_bridge() const noexcept { return is_bridge_; }
    /// Whether a message of another host has been received.
    bool joined() const noexcept { return joined_; }

private:
    struct probe {
        host_id target;
        std::uint64_t sequence = 0;
        instant sent{};
        bool indirect = false;
        bool pending = false;
    };
    struct relay {
        host_id requester;
        std::uint64_t requester_sequence = 0;
        host_id target;
        instant started{};
    };

    void recover_from_pause(duration gap, instant now);
    void run_probe(instant now);
    void start_probe(instant now);
    void request_indirect_probes();
    void probe_failed(instant now);
    void declare_expired_suspects_dead(instant now);
    void exchange_with_remote(instant now);
    void join_seed_peers(instant now);
    void join_unknown_seed_peer();

    void apply_update(const member_update& update, instant now);
    void queue_update(const member_update& update);
    void refute(const member_update& claim, instant now);
    void announce(const member_update& update, instant now);
    void answer(const host_id& sender, const gossip_message& message, instant now);
    void handle_ack(const host_id& sender, const gossip_message& message);
    void compare_digest(const host_id& sender, const gossip_message& message, instant now);
    gossip_message make_message(gossip_kind kind, std::uint64_t sequence,
                                const host_id& subject) const;
    void send(const member_update& to, gossip_kind kind, std::uint64_t sequence,
              const host_id& subject);
    void send_member_list(const member_update& to, gossip_kind kind);
    std::vector<host_id> random_peers(std::size_t count, const host_id& except);

    membership_settings settings_;
    member_update self_;
    std::mt19937_64 random_;
    member_table table_;
    update_queue local_queue_;
    /// Updates for other data centres. Only used on bridges.
    update_queue remote_queue_;
    data_centre_monitor data_centre_monitor_;
    std::vector<outgoing_gossip> outgoing_;
    std::vector<member_update> seed_peers_;
    probe_round probe_round_;
    bridge_selector bridge_selector_;
    probe probe_;
    std::map<std::uint64_t, relay> relays_;
    std::uint64_t last_sequence_ = 0;
    instant last_tick_;
    /// Until this time messages include the entry of this host, for peers that may not know it.
    instant include_self_until_;
    instant next_probe_;
    instant next_bridge_;
    instant next_join_;
    instant next_rejoin_;
    instant next_sync_;
    instant digest_mismatch_since_;
    bool digest_mismatch_ = false;
    bool is_bridge_ = false;
    bool joined_ = false;
};

}  // namespace fuchsiaquay
