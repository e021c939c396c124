#include "servers/relay/upstream_chooser.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

#include "core/fleet/route.hpp"
#include "core/fleet/upstream_entry.hpp"
#include "core/hashing/hash.hpp"
#include "core/health/upstream_health.hpp"
#include "core/health/upstream_notices.hpp"
#include "core/identity/names.hpp"
#include "core/placement/data_centre_preference.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/engine_room.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/placement_request.hpp"
#include "core/relay/caller_request.hpp"
#include "core/scheduling/share_limit.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/evacuation_feed.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/admission_result.hpp"
#include "servers/relay/answer_times.hpp"
#include "servers/relay/evacuation_guard.hpp"
#include "servers/relay/relay_services.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// Maximum number of requests at a plain upstream for each one that it processes at a time.
constexpr int plain_queue_factor = 3;
/// Number of steps over which the retries of rejected callers are spread.
constexpr std::int64_t spread_steps = 1'024;

/// Retry delay for callers while all upstreams of a service are evacuated. The operator does not
/// say when an evacuation ends; a host learns of the end within a second.
constexpr duration evacuated_retry_after = std::chrono::milliseconds(2'000);
/// Time for which a check of the engines' room holds, within which hosts hear of each other's work.
constexpr duration room_check_lifetime = std::chrono::milliseconds(20);

/// Within this time it shows whether the engines are still short.
constexpr duration max_share_retry_after = std::chrono::seconds(5);

/// Number of requests over which the usual prefill time is averaged.
constexpr int prefill_mean_requests = 16;

/// Time after the latest request of a more urgent rank for which others leave it engines.
constexpr duration urgent_demand_lifetime = std::chrono::seconds(1);

/// Every caller accepts this time without data before and within a stream, or these multiples of
/// the route's target and target gap, whichever is longest. Specified by the users' platform
/// (requests).
constexpr duration min_caller_wait = std::chrono::seconds(2);
constexpr int caller_wait_targets = 4;
constexpr int caller_wait_gaps = 8;

duration caller_wait_limit(const route& matched_route) {
    return std::max({min_caller_wait, matched_route.target * caller_wait_targets,
                     matched_route.target_gap * caller_wait_gaps});
}

/// Spreads the retries of callers that were rejected at the same time.
duration spread_over_callers(duration retry_after, std::uint64_t key) {
    return retry_after +
           retry_after * static_cast<std::int64_t>(key % spread_steps) / spread_steps / 2;
}

/// An upstream that a plain request may be sent to.
struct plain_choice {
    const upstream_entry* entry = nullptr;
    int load = 0;
    std::uint64_t order = 0;

    bool goes_before(const plain_choice& other) const {
        return other.entry == nullptr ||
               std::make_tuple(load, order) < std::make_tuple(other.load, other.order);
    }
};

/// Requests per second that a cold upstream of the service tolerates; 0 if there is no limit.
double tolerated_when_cold(const admission_result& admitted) {
    return admitted.service == nullptr ? 0.0 : admitted.service->cold_requests_per_s;
}

placement_decision refused(const char* reason) {
    placement_decision result;
    result.outcome = placement_decision::verdict::refuse;
    result.reason = reason;
    return result;
}

}  // namespace

placement_decision upstream_chooser::choose(const caller_request& request,
                                            const admission_result& admitted, std::uint64_t key,
                                            const std::set<std::string>& excluded,
                                            const answer_times& times) const {
    const std::vector<upstream_entry>& ready = services_.upstreams.ready(admitted.service_name);
    if (ready.empty()) {
        return refused("no_upstream");
    }
    if (const std::optional<rejection> refusal = evacuation_guard(services_).refusal()) {
        placement_decision unknown;
        unknown.reason = refusal->reason;
        unknown.retry_after = refusal->retry_after;
        return unknown;
    }
    if (std::all_of(ready.begin(), ready.end(),
                    [this](const upstream_entry& entry) { return evacuated(entry); })) {
        placement_decision none = refused("data_centres_evacuated");
        none.evacuated = true;
        none.retry_after = spread_over_callers(evacuated_retry_after, key);
        return none;
    }
    if (const auto pause = remaining_pause(admitted.service_name, key)) {
        placement_decision paused = refused("upstreams_pause");
        paused.retry_after = *pause;
        return paused;
    }
    if (const auto wait = remaining_rate_wait(admitted)) {
        placement_decision limited;
        limited.rate_limited = true;
        limited.reason = rate_wait_reason(admitted);
        limited.retry_after = *wait;
        return limited;
    }
    if (admitted.service != nullptr && admitted.service->engine) {
        return choose_engine(request, admitted, key, excluded, times);
    }
    return choose_plain(admitted, key, excluded);
}

bool upstream_chooser::accepts(const upstream_entry& entry, instant now) const {
    return !evacuated(entry) && services_.health.allows(upstream_id(entry.id), now) &&
           services_.notices.accepts(entry, now);
}

bool upstream_chooser::evacuated(const upstream_entry& entry) const {
    return services_.evacuations.current().covers(entry.data_centre);
}

duration upstream_chooser::rate_wait(const upstream_entry& entry, const admission_result& admitted,
                                     instant now) const {
    const duration named =
        services_.work_table.rate_limits().time_until_accepted(entry.id, admitted.rank, now);
    return std::max(named, services_.work_table.cold_budget().time_until_accepted(
                               entry.id, tolerated_when_cold(admitted), now));
}

bool upstream_chooser::within_rate(const upstream_entry& entry, const admission_result& admitted,
                                   instant now) const {
    return rate_wait(entry, admitted, now) == duration::zero();
}

std::optional<duration> upstream_chooser::remaining_rate_wait(
    const admission_result& admitted) const {
    const instant now = services_.timers.now();
    std::optional<duration> shortest;
    for (const upstream_entry& entry : services_.upstreams.ready(admitted.service_name)) {
        if (!accepts(entry, now)) {
            continue;
        }
        const duration wait = rate_wait(entry, admitted, now);
        if (wait == duration::zero()) {
            return std::nullopt;
        }
        shortest = std::min(wait, shortest.value_or(wait));
    }
    return shortest;
}

const char* upstream_chooser::rate_wait_reason(const admission_result& admitted) const {
    const instant now = services_.timers.now();
    const auto& ready = services_.upstreams.ready(admitted.service_name);
    const bool only_cold =
        std::any_of(ready.begin(), ready.end(), [&](const upstream_entry& entry) {
            return accepts(entry, now) &&
                   services_.work_table.rate_limits().accepts(entry.id, admitted.rank, now);
        });
    return only_cold ? "upstreams_cold" : "rate_limited";
}

std::optional<double> upstream_chooser::total_rate(const std::string& service) const {
    double total = 0.0;
    for (const upstream_entry& entry : services_.upstreams.ready(service)) {
        if (evacuated(entry)) {
            continue;
        }
        const std::optional<double> rate = services_.work_table.rate_limits().rate_of(entry.id);
        if (!rate) {
            return std::nullopt;
        }
        total += *rate;
    }
    return total;
}

std::optional<duration> upstream_chooser::remaining_pause(const std::string& service,
                                                          std::uint64_t key) const {
    const instant now = services_.timers.now();
    duration shortest = duration::max();
    for (const upstream_entry& entry : services_.upstreams.ready(service)) {
        if (evacuated(entry)) {
            continue;
        }
        const std::optional<duration> left = services_.notices.pause_left(entry, now);
        if (left == duration::zero()) {
            return std::nullopt;
        }
        shortest = std::min(shortest, left.value_or(duration::max()));
    }
    if (shortest == duration::max()) {
        return duration::zero();
    }
    return spread_over_callers(shortest, key);
}

std::vector<engine_view> upstream_chooser::accepting_engines(const admission_result& admitted,
                                                             instant now) const {
    const engine_work_table& table = services_.work_table;
    const bool cold_matters = tolerated_when_cold(admitted) > 0.0;
    std::vector<engine_view> engines;
    for (const upstream_entry& entry : services_.upstreams.ready(admitted.service_name)) {
        if (!accepts(entry, now) || !within_rate(entry, admitted, now)) {
            continue;
        }
        const bool cold = cold_matters && table.cold_budget().is_cold(entry.id, now);
        const double slowdown = table.slowdowns().slowdown_of(entry.id, now);
        const double when_cold =
            cold ? table.cold_slowdowns().slowdown_of(admitted.service_name) : 1.0;
        engines.push_back({entry.id, &*admitted.service->engine, &table.load(entry.id),
                           std::max(slowdown, when_cold), &entry.data_centre, cold});
    }
    return engines;
}

bool upstream_chooser::shares_bind(const admission_result& admitted, instant now) const {
    if (admitted.account == 0 || !services_.knows_all_work()) {
        return false;
    }
    const duration target = admitted.matched_route->target;
    room_checks_[{admitted.service_name, admitted.rank, target}].wanted_at = now;
    bool binds = false;
    auto item = room_checks_.lower_bound({admitted.service_name, 0, duration::zero()});
    for (; item != room_checks_.end(); ++item) {
        const auto& [service, rank, checked_target] = item->first;
        const bool concerns = rank < admitted.rank
                                  ? now - item->second.wanted_at <= urgent_demand_lifetime
                                  : checked_target == target;
        if (service != admitted.service_name || rank > admitted.rank) {
            break;
        }
        binds = binds || (concerns && is_short(admitted, rank, checked_target, item->second, now));
    }
    return binds;
}

bool upstream_chooser::is_short(const admission_result& admitted, int rank, duration target,
                                room_check& check, instant now) const {
    if (check.checked_at == instant{} || now - check.checked_at > room_check_lifetime) {
        const double prompts_per_s =
            services_.work_table.shares().requests_per_s(admitted.account, rank, now);
        check.is_short = engines_short(accepting_engines(admitted, now), target,
                                       check.usual_prefill, prompts_per_s, now);
        check.checked_at = now;
    }
    return check.is_short;
}

double upstream_chooser::share_in_use(const admission_result& admitted) const {
    const instant now = services_.timers.now();
    if (!shares_bind(admitted, now)) {
        return 0.0;
    }
    const share_standing standing =
        services_.work_table.shares().standing(admitted.account, admitted.rank, now);
    return standing.limit > 0.0 ? standing.used / standing.limit : 0.0;
}

placement_decision upstream_chooser::limit_to_share(placement_decision decision,
                                                    const caller_request& request,
                                                    const admission_result& admitted,
                                                    std::uint64_t key) const {
    const instant now = services_.timers.now();
    if (admitted.account != 0) {
        room_check& check =
            room_checks_[{admitted.service_name, admitted.rank, admitted.matched_route->target}];
        const duration prefill =
            prefill_time(*admitted.service->engine, request.prompt_tokens.value_or(0));
        check.usual_prefill += (prefill - check.usual_prefill) / prefill_mean_requests;
    }
    const bool has_other_cause =
        decision.outcome == placement_decision::verdict::refuse || decision.rate_limited;
    if (has_other_cause || !shares_bind(admitted, now)) {
        return decision;
    }
    const share_standing standing =
        services_.work_table.shares().standing(admitted.account, admitted.rank, now);
    const duration target = admitted.matched_route->target;
    // A prompt that takes longer is split over engines.
    const duration needed = std::min(
        prefill_time(*admitted.service->engine, request.prompt_tokens.value_or(0)), target / 2);
    const duration left = request.received_at + target - now;
    const share_verdict verdict = fuchsiaquay::limit_to_share(standing, needed, left);
    if (verdict == share_verdict::admit) {
        return decision;
    }
    placement_decision held;
    held.outcome = verdict == share_verdict::wait ? placement_decision::verdict::wait
                                                  : placement_decision::verdict::refuse;
    held.reason = "share_used";
    held.prompts_ahead = decision.prompts_ahead;
    held.over_share = true;
    held.share_used = standing.used;
    held.share_limit = standing.limit;
    held.retry_after = spread_over_callers(std::min(standing.free_in, max_share_retry_after), key);
    return held;
}

placement_decision upstream_chooser::choose_engine(const caller_request& request,
                                                   const admission_result& admitted,
                                                   std::uint64_t key,
                                                   const std::set<std::string>& excluded,
                                                   const answer_times& times) const {
    const instant now = services_.timers.now();
    const engine_profile& profile = *admitted.service->engine;
    const std::vector<engine_view> engines = accepting_engines(admitted, now);
    placement_request placement;
    placement.key = key;
    placement.prompt_tokens = request.prompt_tokens.value_or(0);
    placement.answer_tokens =
        request.max_answer_tokens > 0 ? request.max_answer_tokens : profile.usual_answer_tokens;
    placement.first_event_time_left = request.received_at + admitted.matched_route->target - now;
    placement.time_left = times.deadline - now;
    placement.target_gap = admitted.matched_route->target_gap;
    placement.abandon_time_left =
        times.silent_since + caller_wait_limit(*admitted.matched_route) - now;
    placement.excluded_engines = excluded;
    placement.all_work_known = services_.knows_all_work();
    placement.share =
        room_share(services_.work_table.hosts(),
                   services_.work_table.own_dispatched_after(now - placement_news_time),
                   room_share_draw(services_.host, now));
    engine_work queue_entry;
    queue_entry.key = key;
    queue_entry.prefill_time = prefill_time(profile, placement.prompt_tokens);
    queue_entry.dispatched_at = request.received_at + admitted.matched_route->target;
    queue_entry.rank = admitted.account == 0 ? 0 : admitted.rank;
    if (queue_entry.prefill_time > long_prefill_threshold) {
        placement.tokens_ahead =
            services_.work_table.load("").prompts_waiting_before(queue_entry, now);
    }
    return services_.placement.choose(placement, engines, now);
}

placement_decision upstream_chooser::choose_plain(const admission_result& admitted,
                                                  std::uint64_t key,
                                                  const std::set<std::string>& excluded) const {
    const instant now = services_.timers.now();
    plain_choice any;
    plain_choice own;
    for (const upstream_entry& entry : services_.upstreams.ready(admitted.service_name)) {
        if (excluded.count(entry.id) > 0 || !accepts(entry, now) ||
            !within_rate(entry, admitted, now)) {
            continue;
        }
        const int load = services_.work_table.load(entry.id).requests();
        if (load >= entry.slots * plain_queue_factor) {
            continue;
        }
        const plain_choice next = {&entry, load, stable_hash(entry.id, key)};
        any = next.goes_before(any) ? next : any;
        const bool is_own = !services_.preferred_data_centre.empty() &&
                            entry.data_centre == services_.preferred_data_centre;
        own = is_own && next.goes_before(own) ? next : own;
    }
    placement_decision result;
    result.reason = "least_loaded";
    if (any.entry == nullptr) {
        result.reason = "no_room";
        return result;
    }
    const bool stays =
        own.entry != nullptr && stays_in_data_centre(own.load, any.load, own.entry->slots);
    result.outcome = placement_decision::verdict::place;
    result.engine = (stays ? own : any).entry->id;
    return result;
}

}  // namespace fuchsiaquay
