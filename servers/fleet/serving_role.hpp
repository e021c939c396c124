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

/// Whether this host serves callers or stands by. A host serves when it has an entry of before,
/// when its data centre has fewer serving hosts than wanted, when a serving host invites it, or
/// when it hears of no serving host at all. Of too many, the last ones step down.
class serving_role {
public:
    using load_source = std::function<host_load()>;

    /// @param callers_keep  longest time for which callers keep a directory answer
    serving_role(host_record self, const serving_settings& settings, duration callers_keep,
                 host_registry& hosts, timer_service& timers, decision_log& log, load_source load);

    void start();
    bool serving() const;
    /// True while this host serves what it has and callers are sent elsewhere.
    bool stepping_down() const noexcept { return stepping_down_since_.has_value(); }
    /// Whether `standby`, which asks this host, shall serve as well.
    bool should_invite(const host_record& standby);
    /// Takes the invitation of a serving host.
    void accept_invitation();

private:
    struct standby_host {
        host_record record;
        instant asked_at{};
    };
    struct shortage {
        instant since{};
        instant last_missed{};
    };

    void look_for_others();
    void decide(const directory_read_result& reading);
    void decide_alone(const directory_read_result& reading);
    void serve(const char* reason);
    void tick();
    void measure_load(instant now);
    void watch_isolation(instant now);
    void watch_excess(instant now);
    void finish_stepping_down(instant now);
    bool invites_for(const std::string& data_centre) const;
    bool short_of_hosts(const std::string& data_centre, instant now);
    bool best_standby(const host_record& standby, instant now) const;

    host_record self_;
    serving_policy policy_;
    duration callers_keep_;
    host_registry& hosts_;
    timer_service& timers_;
    decision_log& log_;
    load_source load_;
    bool waited_ = false;
    /// The first look at the directory is over.
    bool decided_ = false;
    instant heard_at_{};
    /// A last look at the directory is planned or on its way.
    bool isolated_ = false;
    /// Others were found there that had time to answer.
    bool postponed_ = false;
    std::uint64_t requests_before_ = 0;
    instant measured_at_{};
    double requests_per_s_ = 0.0;
    std::optional<instant> excess_since_;
    std::optional<instant> stepping_down_since_;
    std::optional<instant> invited_at_;
    std::map<std::string, standby_host> standbys_;
    /// By data centre.
    std::map<std::string, shortage> shortages_;
};

}  // namespace fuchsiaquay
