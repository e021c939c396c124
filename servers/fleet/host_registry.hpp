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
#include "core/fleet/recent_work_changes.hpp"
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

/// Tracks the serving hosts of the fleet. A serving host has an entry in the store, finds the other
/// serving hosts there and exchanges announcements with them. A host on standby receives the list
/// from one of the serving hosts.
class host_registry {
public:
    using state_source = std::function<host_state()>;
    using revision_source = std::function<std::int64_t()>;
    using directory_handler = std::function<void(const directory_read_result& result)>;
    /// Receives a host whose configuration has a higher revision than the one of this host.
    using newer_configuration_handler = std::function<void(const host_record& host)>;

    /// @param prefix  prefix of the store keys of host entries, followed by the name of the host
    host_registry(host_record self, polled_store& store, datagram_channel& channel,
                  timer_service& timers, decision_log& log, engine_work_table& work_table,
                  std::string prefix, state_source state, revision_source configuration_revision);

    void start();
    /// Registers this host in the store and starts to announce its work.
    void start_serving();
    /// Removes this host from the serving hosts. It must have no work left.
    void stop_serving();
    bool serving() const noexcept { return serving_; }
    /// Whether this host serves and has had time to receive the work of all other hosts.
    bool knows_all_work() const;
    /// Reads the entries of the serving hosts.
    void read_directory(directory_handler done);
    /// Announces immediately that this host leaves, and removes its entry from the store.
    void leave();

    /// Hosts to which callers are directed: the serving hosts that are ready. If there are none,
    /// the serving hosts that are unready; if a host on standby knows none either, those with an
    /// entry.
    std::vector<host_record> hosts_for_callers() const;
    /// Other hosts that were heard recently and are not leaving.
    std::vector<host_record> live_peers() const;
    /// All known other hosts that are not leaving, whether or not they were heard.
    std::vector<host_record> listed_peers() const;
    /// The live serving hosts of a data centre, including this one.
    serving_group serving_in(const std::string& data_centre) const;
    /// The serving hosts as reported to hosts on standby.
    std::vector<reported_host> reported_hosts() const;
    /// Merges the list of a serving host. Ignored unless this host is on standby.
    void merge_reported_hosts(const std::vector<reported_host>& hosts, instant asked_at);
    void set_request_rate(double requests_per_s) { requests_per_s_ = requests_per_s; }
    /// Null if the host is not known.
    const host_record* find(const std::string& host) const;
    /// Whether the entries of the serving hosts have been read at least once.
    bool directory_loaded() const noexcept { return directory_loaded_; }
    void receive(const announcement& message);
    void on_newer_configuration(newer_configuration_handler on_newer) {
        newer_configuration_ = std::move(on_newer);
    }
    engine_work_table& work_table() const;
    /// Merges what another host reports about parts of prompts.
    void merge_prompt_parts(const std::string& from, const prompt_part_report& report);
    /// Sends a complete announcement immediately, for example after a change of the configuration.
    void announce_now();

private:
    struct peer {
        host_record record;
        host_state state = host_state::unready;
        std::uint64_t sequence = 0;
        instant last_heard_at{};
        bool heard = false;
        double requests_per_s = 0.0;

        /// Whether `incarnation` is of an earlier process than the known one. An entry that the
        /// store has kept through a restoration bears a later era than its process, so an entry
        /// alone does not make a process of an earlier era outdated.
        bool replaces(std::uint64_t incarnation) const;
    };

    void queue_works(const std::vector<engine_work>& works);
    /// Plans a complete announcement.
    void plan_report();
    void flush_planned();
    void flush();
    std::vector<host_record> serving_hosts(host_state state) const;
    void announce(bool complete, std::vector<engine_work> works);
    /// Forwards an announcement to the other hosts of this data centre.
    void forward_announcement(announcement message);
    std::vector<announcement_peer> announcement_peers() const;
    void expire_silent_peers();
    /// Registers again once the store has been restored from a copy, which may lack the entry or
    /// its lease.
    void restore_registration();
    bool is_alive(const peer& item, instant now) const;
    /// Whether an entry of the directory is of a later process than the known one.
    bool is_new_entry(const peer& known, std::uint64_t incarnation) const;

    host_record self_;
    polled_store& store_;
    datagram_channel& channel_;
    timer_service& timers_;
    decision_log& log_;
    engine_work_table& work_table_;
    std::string prefix_;
    host_registration registration_;
    state_source state_;
    revision_source configuration_revision_;
    newer_configuration_handler newer_configuration_;
    bool directory_loaded_ = false;
    host_state announced_state_ = host_state::unready;
    std::map<std::string, peer> peers_;
    bool serving_ = false;
    instant serving_since_{};
    bool left_ = false;
    /// Whether this host is about to register again in a later era of the store.
    bool restoration_planned_ = false;
    double requests_per_s_ = 0.0;
    std::uint64_t sequence_ = 0;
    std::uint64_t heartbeat_count_ = 0;
    recent_work_changes recent_changes_;
    bool changes_pending_ = false;
    bool flush_planned_ = false;
    /// Whether a complete announcement is planned.
    bool report_planned_ = false;
};

}  // namespace fuchsiaquay
