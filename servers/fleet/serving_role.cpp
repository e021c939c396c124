#include "servers/fleet/serving_role.hpp"

#include <algorithm>
#include <utility>

#include "core/hashing/spread.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/directory_read_result.hpp"
#include "servers/fleet/host_registry.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(250);
/// Pause before the directory is read again after a failure, and what hosts spread it over.
constexpr duration read_retry = std::chrono::milliseconds(1'000);
constexpr duration read_retry_spread = std::chrono::milliseconds(500);
/// Time without any serving host after which one that stands by looks for others, or serves.
constexpr duration isolation_limit = std::chrono::milliseconds(1'200);
/// Period over which the load is measured.
constexpr duration load_period = std::chrono::seconds(2);
/// A host that was killed is back within this time; only then another one is invited.
constexpr duration shortage_limit = std::chrono::milliseconds(3'500);
/// The same for a data centre without any serving host.
constexpr duration empty_limit = std::chrono::milliseconds(1'000);
/// A shortage that was not seen for this long is over.
constexpr duration shortage_gap = std::chrono::milliseconds(1'500);
/// A host that stands by and has not asked for this long is gone.
constexpr duration standby_silence = std::chrono::milliseconds(1'500);
/// Time for an invited host to be heard of.
constexpr duration invitation_period = std::chrono::milliseconds(1'500);
/// Time for which a data centre has too many serving hosts before one steps down.
constexpr duration excess_limit = std::chrono::seconds(8);
/// Hysteresis: load that may come back while a host steps down.
constexpr double excess_load = 1.5;

}  // namespace

serving_role::serving_role(host_record self, const serving_settings& settings,
                           duration callers_keep, host_registry& hosts, timer_service& timers,
                           decision_log& log, load_source load)
    : self_(std::move(self)),
      policy_(settings),
      callers_keep_(callers_keep),
      hosts_(hosts),
      timers_(timers),
      log_(log),
      load_(std::move(load)) {}

void serving_role::start() {
    heard_at_ = timers_.now();
    measured_at_ = timers_.now();
    look_for_others();
    timers_.every(tick_period, [this] { tick(); });
}

bool serving_role::serving() const {
    return hosts_.serving();
}

void serving_role::look_for_others() {
    hosts_.read_directory([this](const directory_read_result& reading) { decide(reading); });
}

void serving_role::decide(const directory_read_result& reading) {
    if (serving()) {
        return;
    }
    if (!reading.succeeded) {
        timers_.after(read_retry + spread_delay(self_.host, read_retry_spread),
                      [this] { look_for_others(); });
        return;
    }
    if (reading.has_own_entry) {
        serve("has an entry");
        return;
    }
    const std::vector<host_record> listed = hosts_.listed_peers();
    const auto near = std::count_if(listed.begin(), listed.end(), [this](const host_record& host) {
        return host.data_centre == self_.data_centre;
    });
    if (static_cast<std::size_t>(near) >= policy_.required_hosts(0.0)) {
        decided_ = true;
        heard_at_ = timers_.now();
        log_.write(decision_log::level::info, "standing_by",
                   {{"reason", "enough hosts serve"}, {"serving_near", std::to_string(near)}});
        return;
    }
    if (std::exchange(waited_, true)) {
        serve("too few hosts serve");
        return;
    }
    timers_.after(policy_.start_delay(self_), [this] { look_for_others(); });
}

void serving_role::serve(const char* reason) {
    decided_ = true;
    if (serving()) {
        return;
    }
    log_.write(
        decision_log::level::info, "serving",
        {{"reason", reason},
         {"serving_near", std::to_string(hosts_.serving_in(self_.data_centre).hosts.size())}});
    hosts_.start_serving();
}

void serving_role::accept_invitation() {
    serve("invited");
}

void serving_role::tick() {
    const instant now = timers_.now();
    measure_load(now);
    if (!serving()) {
        watch_isolation(now);
    } else if (stepping_down()) {
        finish_stepping_down(now);
    } else {
        watch_excess(now);
    }
}

void serving_role::measure_load(instant now) {
    if (now - measured_at_ < load_period) {
        return;
    }
    const std::uint64_t requests = load_().requests;
    requests_per_s_ =
        static_cast<double>(requests - requests_before_) / to_seconds(now - measured_at_);
    requests_before_ = requests;
    measured_at_ = now;
    hosts_.set_request_rate(requests_per_s_);
}

void serving_role::watch_isolation(instant now) {
    if (!hosts_.live_peers().empty()) {
        heard_at_ = now;
        postponed_ = false;
        return;
    }
    if (!decided_ || now - heard_at_ < isolation_limit || std::exchange(isolated_, true)) {
        return;
    }
    timers_.after(policy_.start_delay(self_), [this] {
        hosts_.read_directory(
            [this](const directory_read_result& reading) { decide_alone(reading); });
    });
}

void serving_role::decide_alone(const directory_read_result& reading) {
    isolated_ = false;
    if (serving() || !hosts_.live_peers().empty()) {
        return;
    }
    if (reading.new_entries > 0 && !std::exchange(postponed_, true)) {
        // Others took up service meanwhile: they may answer.
        heard_at_ = timers_.now();
        return;
    }
    serve("no serving host answers");
}

void serving_role::watch_excess(instant now) {
    const serving_group near = hosts_.serving_in(self_.data_centre);
    const bool last =
        std::all_of(near.hosts.begin(), near.hosts.end(), [this](const host_record& host) {
            return host.host == self_.host || serving_policy::is_preferred(host, self_);
        });
    if (!last || near.hosts.size() <= policy_.required_hosts(near.requests_per_s * excess_load)) {
        excess_since_.reset();
        return;
    }
    if (!excess_since_) {
        excess_since_ = now;
    }
    if (now - *excess_since_ < excess_limit) {
        return;
    }
    excess_since_.reset();
    stepping_down_since_ = now;
    log_.write(decision_log::level::info, "stepping_down",
               {{"serving_near", std::to_string(near.hosts.size())},
                {"requests_per_s", std::to_string(near.requests_per_s)}});
}

void serving_role::finish_stepping_down(instant now) {
    if (now - *stepping_down_since_ < callers_keep_ || load_().active > 0) {
        return;
    }
    stepping_down_since_.reset();
    heard_at_ = now;
    hosts_.stop_serving();
    log_.write(decision_log::level::info, "standing_by", {{"reason", "more hosts than needed"}});
}

bool serving_role::should_invite(const host_record& standby) {
    const instant now = timers_.now();
    if (!serving() || stepping_down()) {
        return false;
    }
    standbys_[standby.host] = {standby, now};
    const bool recently = invited_at_ && now - *invited_at_ < invitation_period;
    if (recently || !invites_for(standby.data_centre) ||
        !short_of_hosts(standby.data_centre, now) || !best_standby(standby, now)) {
        return false;
    }
    invited_at_ = now;
    log_.write(decision_log::level::info, "host_invited",
               {{"peer", standby.host}, {"data_centre", standby.data_centre}});
    return true;
}

bool serving_role::invites_for(const std::string& data_centre) const {
    const serving_group near = hosts_.serving_in(data_centre);
    if (!near.hosts.empty()) {
        return serving_policy::most_preferred(near.hosts)->host == self_.host;
    }
    // The hosts of a data centre without serving ones all ask the same host elsewhere.
    return true;
}

bool serving_role::short_of_hosts(const std::string& data_centre, instant now) {
    const serving_group group = hosts_.serving_in(data_centre);
    if (group.hosts.size() >= policy_.required_hosts(group.requests_per_s)) {
        shortages_.erase(data_centre);
        return false;
    }
    shortage& known = shortages_[data_centre];
    if (now - known.last_missed > shortage_gap) {
        known.since = now;
    }
    known.last_missed = now;
    return now - known.since >= (group.hosts.empty() ? empty_limit : shortage_limit);
}

bool serving_role::best_standby(const host_record& standby, instant now) const {
    return std::all_of(standbys_.begin(), standbys_.end(), [&](const auto& item) {
        const standby_host& other = item.second;
        return now - other.asked_at > standby_silence || other.record.host == standby.host ||
               other.record.data_centre != standby.data_centre || hosts_.find(item.first) ||
               serving_policy::is_preferred(standby, other.record);
    });
}

}  // namespace fuchsiaquay
