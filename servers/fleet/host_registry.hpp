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
#include "core/fleet/reported_host.hpp"
#include "core/fleet/serving_group.hpp"
#include "core/time/clock.hpp"
#include "servers/fleet/directory_read_result.hpp"
#include "servers/fleet/host_registration.hpp"

namespace fuchsiaquay {

class datagram_channel;
class decision_log;
class engine_work_table;
class polled_store;
class timer_service;

/// The serving hosts of the fleet. A host that serves has an entry in the store, finds the others
/// there, and exchanges announcements with them. One that stands by hears of them from one of them.
class host_registry {
public:
    using state_source = std::function<host_state()>;
    using revision_source = std::function<std::int64_t()>;
    using directory_handler = std::function<void(const directory_read_result& reading)>;
    /// Receives a host whose configuration has another revision than this host's.
    using newer_configuration_handler = std::function<void(const host_record& host)>;

    /// @param prefix  part of the store's keys before the host's name
    host_registry(host_record self, polled_store& store, datagram_channel& channel,
                  timer_service& timers, decision_log& log, engine_work_table& board,
                  std::string prefix, state_source state, revision_source configuration);

    void start();
    /// Takes part in serving: registers, and announces this host's work.
    void start_serving();
    /// Ends the part in serving; the host has no work left.
    void stop_serving();
    bool serving() const noexcept { return serving_; }
    /// Whether this host serves and has had time to hear of all the others' work.
    bool knows_all_work() const;
    /// Reads the entries of the serving hosts.
    void read_directory(directory_handler done);
    /// Tells the others at once, and gives up the entry in the store.
    void leave();

    /// Hosts that callers are sent to: the serving ones that are ready, or when none is, those that
    /// are not, or for a host that has just started, those that have an entry.
    std::vector<host_record> hosts_for_callers() const;
    /// Other hosts heard of lately that are not leaving.
    std::vector<host_record> live_peers() const;
    /// Other hosts that have an entry, heard of or not.
    std::vector<host_record> listed_peers() const;
    /// The serving hosts of a data centre that are alive, this one included.
    serving_group serving_in(const std::string& data_centre) const;
    /// What a host that stands by is told.
    std::vector<reported_host> reported_hosts() const;
    /// Takes what a serving host told this one, which stands by.
    void merge_reported_hosts(const std::vector<reported_host>& hosts, instant asked_at);
    void set_request_rate(double requests_per_s) { requests_per_s_ = requests_per_s; }
    /// Null when the host is not known.
    const host_record* find(const std::string& host) const;
    /// True once the entries of the serving hosts have been read.
    bool directory_loaded() const noexcept { return registered_; }
    void receive(const announcement& message);
    void on_newer_configuration(newer_configuration_handler newer) { newer_ = std::move(newer); }
    /// Tells the others of a new configuration.
    void announce_now();

private:
    struct peer {
        host_record record;
        host_state state = host_state::unready;
        std::uint64_t sequence = 0;
        instant heard_at{};
        bool heard = false;
        double requests_per_s = 0.0;
    };

    void note_work(const engine_work& work);
    void flush_planned();
    void flush();
    std::vector<host_record> serving_hosts(host_state state) const;
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
    engine_work_table& board_;
    std::string prefix_;
    host_registration entry_;
    state_source state_;
    revision_source configuration_;
    newer_configuration_handler newer_;
    bool registered_ = false;
    host_state announced_ = host_state::unready;
    std::map<std::string, peer> peers_;
    bool serving_ = false;
    instant serving_since_{};
    bool left_ = false;
    double requests_per_s_ = 0.0;
    std::uint64_t sequence_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::vector<engine_work> changes_;
    bool flush_planned_ = false;
};

}  // namespace fuchsiaquay
