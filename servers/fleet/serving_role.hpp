#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/fleet/host_record.hpp"
#include "core/fleet/serving_policy.hpp"
#include "core/time/clock.hpp"
#include "servers/fleet/host_load.hpp"

namespace fuchsiaquay {

class decision_log;
struct directory_read_result;
class host_registry;
class timer_service;

/// Decides whether this host serves callers or is on standby. A host serves if it has an entry from
/// an earlier run, if its data centre has too few serving hosts, if a serving host invites it, or
/// if it hears from no serving host at all. If a data centre has too many, the least preferred one
/// steps down.
class serving_role {
public:
    using load_source = std::function<host_load()>;

    /// @param directory_max_age  maximum time for which callers use a directory answer
    serving_role(host_record self, const serving_settings& settings, duration directory_max_age,
                 host_registry& hosts, timer_service& timers, decision_log& log, load_source load);

    void start();
    bool serving() const;
    /// Whether this host still finishes its requests while callers are directed to other hosts.
    bool stepping_down() const noexcept { return stepping_down_since_.has_value(); }
    /// Whether the requesting host `standby` should start to serve.
    bool should_invite(const host_record& standby);
    /// Starts to serve on the invitation of a serving host.
    void accept_invitation();

private:
    struct standby_host {
        host_record record;
        instant asked_at{};
    };
    struct shortage {
        instant since{};
        instant last_seen{};
    };

    void check_directory();
    void choose_initial_role(const directory_read_result& directory);
    void decide_when_isolated(const directory_read_result& directory);
    void start_serving(const char* reason);
    void tick();
    void measure_load(instant now);
    void check_isolation(instant now);
    void check_excess(instant now);
    void finish_stepping_down(instant now);
    bool invites_hosts_of(const std::string& data_centre) const;
    bool has_shortage(const std::string& data_centre, instant now);
    bool is_best_standby(const host_record& standby, instant now) const;

    host_record self_;
    serving_policy policy_;
    duration directory_max_age_;
    host_registry& hosts_;
    timer_service& timers_;
    decision_log& log_;
    load_source load_;
    bool start_delayed_ = false;
    /// Whether the directory has been evaluated after the start.
    bool initial_role_chosen_ = false;
    instant last_heard_at_{};
    /// Whether the directory is being read once more before an isolated host starts to serve.
    bool isolation_check_pending_ = false;
    /// Whether that was postponed because new hosts were found, which may still answer.
    bool isolation_postponed_ = false;
    std::uint64_t last_requests_ = 0;
    instant measured_at_{};
    double requests_per_s_ = 0.0;
    std::optional<instant> excess_since_;
    std::optional<instant> stepping_down_since_;
    std::optional<instant> invited_at_;
    std::map<std::string, standby_host> standby_hosts_;
    /// Shortages by data centre.
    std::map<std::string, shortage> shortages_;
};

}  // namespace fuchsiaquay
