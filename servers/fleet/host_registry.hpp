#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/fleet/announcement.hpp"
#include "core/fleet/announcement_peer.hpp"
#include "core/fleet/host_record.hpp"
#include "core/fleet/host_state.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

class datagram_channel;
class decision_log;
class engine_board;
class polled_store;
class timer_service;

/// The hosts of the fleet: keeps this host's own entry in the store, finds the others there, and
/// exchanges announcements with them.
class host_registry {
public:
    using state_source = std::function<host_state()>;
    using revision_source = std::function<std::int64_t()>;
    /// Receives a host whose configuration has another revision than this host's.
    using newer_handler = std::function<void(const host_record& host)>;

    /// @param prefix  part of the store's keys before the host's name
    host_registry(host_record self, polled_store& store, datagram_channel& channel,
                  timer_service& timers, decision_log& log, engine_board& board, std::string prefix,
                  state_source state, revision_source configuration);

    void start();
    /// Tells the others at once, and gives up the entry in the store.
    void leave();

    /// Hosts that callers may use now, this one included when it is ready.
    std::vector<host_record> ready_hosts() const;
    /// Other hosts heard of lately that are not leaving.
    std::vector<host_record> live_peers() const;
    /// Null when the host is not known.
    const host_record* find(const std::string& host) const;
    /// True once this host's entry is in the store and the others' have been read.
    bool registered() const noexcept { return registered_; }
    void receive(const announcement& message);
    void on_newer_configuration(newer_handler newer) { newer_ = std::move(newer); }
    /// Tells the others of a new configuration.
    void announce_now();

private:
    struct peer {
        host_record record;
        host_state state = host_state::unready;
        std::uint64_t sequence = 0;
        instant heard_at{};
        bool heard = false;
    };

    void register_self();
    void write_entry(std::int64_t lease);
    void keep_entry();
    void read_entries();
    void note_work(const engine_work& work);
    void flush_planned();
    void flush();
    void announce(bool complete, std::vector<engine_work> works);
    /// Sends on what a host of another data centre announced.
    void pass_on(announcement message);
    std::vector<announcement_peer> announcement_peers() const;
    void drop_silent();
    bool alive(const peer& item, instant now) const;

    host_record self_;
    polled_store& store_;
    datagram_channel& channel_;
    timer_service& timers_;
    decision_log& log_;
    engine_board& board_;
    std::string prefix_;
    state_source state_;
    revision_source configuration_;
    newer_handler newer_;
    bool registered_ = false;
    host_state announced_ = host_state::unready;
    std::map<std::string, peer> peers_;
    std::int64_t lease_ = 0;
    bool left_ = false;
    std::uint64_t sequence_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::vector<engine_work> changes_;
    bool flush_planned_ = false;
};

}  // namespace fuchsiaquay
