#include "servers/fleet/serving_role.hpp"

#include <algorithm>
#include <utility>

#include "core/hashing/stagger_delay.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/directory_read_result.hpp"
#include "servers/fleet/host_registry.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(250);
/// Delay before the directory is read again after a failure, and the time over which hosts spread
/// these reads.
constexpr duration read_retry = std::chrono::milliseconds(1'000);
constexpr duration read_retry_spread = std::chrono::milliseconds(500);
/// If a host on standby hears from no serving host for this long, it reads the directory again and
/// may start to serve.
constexpr duration isolation_limit = std::chrono::milliseconds(1'200);
/// Period over which the request rate is measured.
constexpr duration load_period = std::chrono::seconds(2);
/// A host that was killed has restarted within this time. Another one is only invited afterwards.
constexpr duration shortage_limit = std::chrono::milliseconds(3'500);
/// The same for a data centre without any serving host.
constexpr duration empty_data_centre_limit = std::chrono::milliseconds(1'000);
/// A shortage that was not observed for this long has ended.
constexpr duration shortage_gap = std::chrono::milliseconds(1'500);
/// A host on standby that has sent no request for this long is no longer available.
constexpr duration standby_timeout = std::chrono::milliseconds(1'500);
/// Time within which an invited host announces itself. No other host is invited before.
constexpr duration invitation_period = std::chrono::milliseconds(1'500);
/// Time for which a data centre must have too many serving hosts before one steps down.
constexpr duration excess_limit = std::chrono::seconds(8);
/// Hysteresis: a host steps down only if the others could serve this multiple of the load.
constexpr double excess_load_factor = 1.5;

}  // namespace

serving_role::serving_role(host_record self, const serving_settings& settings,
                           duration directory_max_age, host_registry& hosts, timer_service& timers,
                           decision_log& log, load_source load)
    : self_(std::move(self)),
      policy_(settings),
      directory_max_age_(directory_max_age),
      hosts_(hosts),
      timers_(timers),
      log_(log),
      load_(std::move(load)) {}

void serving_role::start() {
    last_heard_at_ = timers_.now();
    measured_at_ = timers_.now();
    check_directory();
    timers_.every(tick_period, [this] { tick(); });
}

bool serving_role::serving() const {
    return hosts_.serving();
}

void serving_role::check_directory() {
    hosts_.read_directory(
        [this](const directory_read_result& directory) { choose_initial_role(directory); });
}

void serving_role::choose_initial_role(const directory_read_result& directory) {
    if (serving()) {
        return;
    }
    if (!directory.succeeded) {
        timers_.after(read_retry + stagger_delay(self_.host, read_retry_spread),
                      [this] { check_directory(); });
        return;
    }
    if (directory.has_own_entry) {
        start_serving("already registered in the store");
        return;
    }
    const std::vector<host_record> listed = hosts_.listed_peers();
    const auto local = std::count_if(listed.begin(), listed.end(), [this](const host_record& host) {
        return host.data_centre == self_.data_centre;
    });
    if (static_cast<std::size_t>(local) >= policy_.required_hosts(0.0)) {
        initial_role_chosen_ = true;
        last_heard_at_ = timers_.now();
        log_.write(decision_log::level::info, "standing_by",
                   {{"reason", "enough hosts serve"}, {"serving_near", std::to_string(local)}});
        return;
    }
    if (std::exchange(start_delayed_, true)) {
        start_serving("too few hosts serve");
        return;
    }
    timers_.after(policy_.start_delay(self_), [this] { check_directory(); });
}

void serving_role::start_serving(const char* reason) {
    initial_role_chosen_ = true;
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
    start_serving("invited");
}

void serving_role::tick() {
    const instant now = timers_.now();
    measure_load(now);
    if (!serving()) {
        check_isolation(now);
    } else if (stepping_down()) {
        finish_stepping_down(now);
    } else {
        check_excess(now);
    }
}

void serving_role::measure_load(instant now) {
    if (now - measured_at_ < load_period) {
        return;
    }
    const std::uint64_t requests = load_().requests;
    requests_per_s_ =
        static_cast<double>(requests - last_requests_) / to_seconds(now - measured_at_);
    last_requests_ = requests;
    measured_at_ = now;
    hosts_.set_request_rate(requests_per_s_);
}

void serving_role::check_isolation(instant now) {
    if (!hosts_.live_peers().empty()) {
        last_heard_at_ = now;
        isolation_postponed_ = false;
        return;
    }
    if (!initial_role_chosen_ || now - last_heard_at_ < isolation_limit ||
        std::exchange(isolation_check_pending_, true)) {
        return;
    }
    timers_.after(policy_.start_delay(self_), [this] {
        hosts_.read_directory(
            [this](const directory_read_result& directory) { decide_when_isolated(directory); });
    });
}

void serving_role::decide_when_isolated(const directory_read_result& directory) {
    isolation_check_pending_ = false;
    if (serving() || !hosts_.live_peers().empty()) {
        return;
    }
    if (directory.new_entries > 0 && !std::exchange(isolation_postponed_, true)) {
        // Other hosts have started to serve in the meantime and may still answer.
        last_heard_at_ = timers_.now();
        return;
    }
    start_serving("no serving host answers");
}

void serving_role::check_excess(instant now) {
    const serving_group local = hosts_.serving_in(self_.data_centre);
    const bool least_preferred =
        std::all_of(local.hosts.begin(), local.hosts.end(), [this](const host_record& host) {
            return host.host == self_.host || serving_policy::is_preferred(host, self_);
        });
    if (!least_preferred ||
        local.hosts.size() <= policy_.required_hosts(local.requests_per_s * excess_load_factor)) {
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
               {{"serving_near", std::to_string(local.hosts.size())},
                {"requests_per_s", std::to_string(local.requests_per_s)}});
}

void serving_role::finish_stepping_down(instant now) {
    if (now - *stepping_down_since_ < directory_max_age_ || load_().active > 0) {
        return;
    }
    stepping_down_since_.reset();
    last_heard_at_ = now;
    hosts_.stop_serving();
    log_.write(decision_log::level::info, "standing_by", {{"reason", "more hosts than needed"}});
}

bool serving_role::should_invite(const host_record& standby) {
    const instant now = timers_.now();
    if (!serving() || stepping_down()) {
        return false;
    }
    standby_hosts_[standby.host] = {standby, now};
    const bool recently = invited_at_ && now - *invited_at_ < invitation_period;
    if (recently || !invites_hosts_of(standby.data_centre) ||
        !has_shortage(standby.data_centre, now) || !is_best_standby(standby, now)) {
        return false;
    }
    invited_at_ = now;
    log_.write(decision_log::level::info, "host_invited",
               {{"peer", standby.host}, {"data_centre", standby.data_centre}});
    return true;
}

bool serving_role::invites_hosts_of(const std::string& data_centre) const {
    const serving_group group = hosts_.serving_in(data_centre);
    if (!group.hosts.empty()) {
        return serving_policy::most_preferred(group.hosts)->host == self_.host;
    }
    // The hosts of a data centre without serving hosts all ask the same remote host.
    return true;
}

bool serving_role::has_shortage(const std::string& data_centre, instant now) {
    const serving_group group = hosts_.serving_in(data_centre);
    if (group.hosts.size() >= policy_.required_hosts(group.requests_per_s)) {
        shortages_.erase(data_centre);
        return false;
    }
    shortage& known = shortages_[data_centre];
    if (now - known.last_seen > shortage_gap) {
        known.since = now;
    }
    known.last_seen = now;
    return now - known.since >= (group.hosts.empty() ? empty_data_centre_limit : shortage_limit);
}

bool serving_role::is_best_standby(const host_record& standby, instant now) const {
    return std::all_of(standby_hosts_.begin(), standby_hosts_.end(), [&](const auto& item) {
        const standby_host& other = item.second;
        return now - other.asked_at > standby_timeout || other.record.host == standby.host ||
               other.record.data_centre != standby.data_centre || hosts_.find(item.first) ||
               serving_policy::is_preferred(standby, other.record);
    });
}

}  // namespace fuchsiaquay
