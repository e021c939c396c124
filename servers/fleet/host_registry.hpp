#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/fleet/announcement.hpp"
#include "core/fleet/host_record.hpp"
#include "core/fleet/host_state.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

class announcement_channel;
class decision_log;
class engine_board;
class polled_store;
class timer_service;

/// The hosts of the fleet: keeps this host's own entry in the store, finds the others there, and
/// exchanges announcements with them.
class host_registry {
public:
    using state_source = std::function<host_state()>;

    /// @param prefix  part of the store's keys before the host's name
    host_registry(host_record self, polled_store& store, announcement_channel& channel,
                  timer_service& timers, decision_log& log, engine_board& board,
                  std::string prefix, state_source state);

    void start();
    /// Tells the others at once, and gives up the entry in the store.
    void leave();

    /// Hosts that callers may use now, this one included when it is ready.
    std::vector<host_record> ready_hosts() const;
    /// Hosts heard of lately, this one included.
    std::size_t live_count() const;

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
    void receive(const announcement& message);
    void drop_silent();
    bool alive(const peer& item, instant now) const;

    host_record self_;
    polled_store& store_;
    announcement_channel& channel_;
    timer_service& timers_;
    decision_log& log_;
    engine_board& board_;
    std::string prefix_;
    state_source state_;
    std::map<std::string, peer> peers_;
    std::int64_t lease_ = 0;
    bool left_ = false;
    std::uint64_t sequence_ = 0;
    std::vector<engine_work> changes_;
    bool flush_planned_ = false;
};

}  // namespace fuchsiaquay
