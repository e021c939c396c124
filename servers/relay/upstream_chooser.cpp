#include "servers/relay/upstream_chooser.hpp"

#include <algorithm>
#include <vector>

#include "core/fleet/route.hpp"
#include "core/fleet/upstream_entry.hpp"
#include "core/hashing/hash.hpp"
#include "core/health/upstream_health.hpp"
#include "core/health/upstream_notices.hpp"
#include "core/identity/names.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/placement_request.hpp"
#include "core/relay/caller_request.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/admission_result.hpp"
#include "servers/relay/answer_times.hpp"
#include "servers/relay/relay_services.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// Maximum number of requests at a plain upstream for each one that it processes at a time.
constexpr int plain_queue_factor = 3;
/// Number of steps over which the retries of rejected callers are spread.
constexpr std::int64_t spread_steps = 1'024;

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
    if (services_.upstreams.ready(admitted.service_name).empty()) {
        return refused("no_upstream");
    }
    if (const auto pause = remaining_pause(admitted.service_name, key)) {
        placement_decision paused = refused("upstreams_pause");
        paused.retry_after = *pause;
        return paused;
    }
    if (const auto wait = remaining_rate_wait(admitted)) {
        placement_decision limited;
        limited.rate_limited = true;
        limited.retry_after = *wait;
        return limited;
    }
    if (admitted.service != nullptr && admitted.service->engine) {
        return choose_engine(request, admitted, key, excluded, times);
    }
    return choose_plain(admitted, key, excluded);
}

bool upstream_chooser::accepts(const upstream_entry& entry, instant now) const {
    return services_.health.allows(upstream_id(entry.id), now) &&
           services_.notices.accepts(entry, now);
}

bool upstream_chooser::within_rate(const upstream_entry& entry, const admission_result& admitted,
                                   instant now) const {
    return services_.work_table.rate_limits().accepts(entry.id, admitted.rank, now);
}

std::optional<duration> upstream_chooser::remaining_rate_wait(
    const admission_result& admitted) const {
    const instant now = services_.timers.now();
    std::optional<duration> shortest;
    for (const upstream_entry& entry : services_.upstreams.ready(admitted.service_name)) {
        if (!accepts(entry, now)) {
            continue;
        }
        const duration wait =
            services_.work_table.rate_limits().time_until_accepted(entry.id, admitted.rank, now);
        if (wait == duration::zero()) {
            return std::nullopt;
        }
        shortest = std::min(wait, shortest.value_or(wait));
    }
    return shortest;
}

std::optional<double> upstream_chooser::total_rate(const std::string& service) const {
    double total = 0.0;
    for (const upstream_entry& entry : services_.upstreams.ready(service)) {
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
        const std::optional<duration> left = services_.notices.pause_left(entry, now);
        if (left == duration::zero()) {
            return std::nullopt;
        }
        shortest = std::min(shortest, left.value_or(duration::max()));
    }
    if (shortest == duration::max()) {
        return duration::zero();
    }
    // Spreads the retries of callers that were rejected at the same time.
    return shortest + shortest * static_cast<std::int64_t>(key % spread_steps) / spread_steps / 2;
}

placement_decision upstream_chooser::choose_engine(const caller_request& request,
                                                   const admission_result& admitted,
                                                   std::uint64_t key,
                                                   const std::set<std::string>& excluded,
                                                   const answer_times& times) const {
    const instant now = services_.timers.now();
    const engine_profile& profile = *admitted.service->engine;
    std::vector<engine_view> engines;
    for (const upstream_entry& entry : services_.upstreams.ready(admitted.service_name)) {
        if (accepts(entry, now) && within_rate(entry, admitted, now)) {
            engines.push_back({entry.id, &profile, &services_.work_table.load(entry.id),
                               services_.work_table.slowdowns().slowdown_of(entry.id, now)});
        }
    }
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
    const upstream_entry* best = nullptr;
    int best_load = 0;
    std::uint64_t best_order = 0;
    for (const upstream_entry& entry : services_.upstreams.ready(admitted.service_name)) {
        if (excluded.count(entry.id) > 0 || !accepts(entry, now) ||
            !within_rate(entry, admitted, now)) {
            continue;
        }
        const int load = services_.work_table.load(entry.id).requests();
        const std::uint64_t order = stable_hash(entry.id, key);
        if (load >= entry.slots * plain_queue_factor) {
            continue;
        }
        if (best == nullptr || load < best_load || (load == best_load && order < best_order)) {
            best = &entry;
            best_load = load;
            best_order = order;
        }
    }
    placement_decision result;
    result.reason = "least_loaded";
    if (best == nullptr) {
        result.reason = "no_room";
        return result;
    }
    result.outcome = placement_decision::verdict::place;
    result.engine = best->id;
    return result;
}

}  // namespace fuchsiaquay
