#include "core/placement/interference_aware_placement.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <tuple>
#include <utility>

#include "core/fleet/engine_profile.hpp"
#include "core/hashing/hash.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

namespace fuchsiaquay {

namespace {

/// Number of steps when a hash is mapped to a number between 0 and 1.
constexpr std::uint64_t hash_steps = 1'000'000;

/// Orders the engines after the first `shared_count` ones for a short prompt: engines that already
/// serve short streams come first. A single short stream on an engine keeps long prompts off it, so
/// short prompts use another engine only if necessary.
void group_short_prompts(const placement_request& request,
                         std::vector<placement_candidate>& candidates, std::size_t shared_count) {
    std::stable_partition(candidates.begin() + static_cast<std::ptrdiff_t>(shared_count),
                          candidates.end(), [&request](const placement_candidate& candidate) {
                              return candidate.requests > 0 &&
                                     candidate.min_target_gap <= request.target_gap;
                          });
}

}  // namespace

interference_aware_placement::interference_aware_placement(interference_aware_settings settings)
    : settings_(settings), splitter_(settings), forecast_(settings) {}

placement_decision interference_aware_placement::place_whole(const placement_request& request,
                                                             const placement_candidate& candidate) {
    placement_decision result;
    result.outcome = placement_decision::verdict::place;
    result.engine = candidate.engine->id;
    result.time_to_first_event =
        candidate.time_to_first_event(candidate.estimated_prefill_time(request.prompt_tokens));
    result.reason = "whole";
    return result;
}

std::vector<placement_candidate> interference_aware_placement::make_candidates(
    const placement_request& request, const std::vector<engine_view>& engines, instant now) const {
    std::vector<placement_candidate> result;
    for (const engine_view& engine : engines) {
        if (request.excluded_engines.count(engine.id) > 0) {
            continue;
        }
        const engine_load& load = *engine.load;
        placement_candidate candidate;
        candidate.engine = &engine;
        candidate.requests = load.requests();
        candidate.pass = scaled(decode_pass_time(*engine.profile, load.decoding_requests(),
                                                 load.decoding_context_tokens()),
                                engine.slowdown);
        // How long an engine stays silent is unknown; the estimate grows with the silence.
        const duration overdue = load.overdue(now) - settings_.overdue_passes * candidate.pass;
        candidate.pending_prefill = scaled(load.pending_prefill(now), engine.slowdown) +
                                    std::max(duration::zero(), overdue);
        candidate.min_target_gap = load.min_target_gap();
        candidate.reads_long_prompt = load.reads_long_prompt();
        const auto usable_memory =
            static_cast<std::int64_t>(usable_memory_tokens(*engine.profile, settings_));
        candidate.free_memory_tokens = usable_memory - load.memory_tokens();
        candidate.has_slot = candidate.requests < engine.profile->slots;
        candidate.can_answer =
            candidate.has_slot &&
            request.prompt_tokens + request.answer_tokens <= candidate.free_memory_tokens;
        candidate.order = stable_hash(engine.id);
        result.push_back(candidate);
    }
    std::sort(result.begin(), result.end(),
              [](const placement_candidate& a, const placement_candidate& b) {
                  return a.order < b.order;
              });
    return result;
}

std::size_t interference_aware_placement::engines_for_short_prompts(
    const placement_request& request, const std::vector<placement_candidate>& candidates) const {
    if (!request.all_work_known) {
        return candidates.size();
    }
    const double needed = engines_for_streams(candidates, request.target_gap);
    return std::min(static_cast<std::size_t>(needed) + 1, candidates.size());
}

double interference_aware_placement::engines_for_streams(
    const std::vector<placement_candidate>& candidates, duration max_target_gap) const {
    double needed = 0.0;
    for (const placement_candidate& candidate : candidates) {
        if (candidate.min_target_gap <= max_target_gap) {
            needed += candidate.requests /
                      (settings_.slot_utilization * candidate.engine->profile->slots);
        }
    }
    return needed;
}

bool interference_aware_placement::acceptable(const placement_candidate& candidate,
                                              const placement_request& request,
                                              double utilization) const {
    const duration prefill = candidate.estimated_prefill_time(request.prompt_tokens);
    const duration time_to_first_event = candidate.time_to_first_event(prefill);
    return candidate.can_answer &&
           time_to_first_event <= scaled(request.first_event_time_left, utilization) &&
           !candidate.would_delay_streams(prefill, settings_);
}

bool interference_aware_placement::too_large_for_shared(
    const placement_request& request, const std::vector<placement_candidate>& shared) const {
    return std::all_of(shared.begin(), shared.end(), [&](placement_candidate candidate) {
        candidate.pending_prefill = {};
        return candidate.would_delay_streams(
            candidate.estimated_prefill_time(request.prompt_tokens), settings_);
    });
}

const placement_candidate* interference_aware_placement::best_shared(
    const placement_request& request, const std::vector<placement_candidate>& shared,
    double utilization) const {
    // Hosts that decide at the same time see the same loads. Weighted rendezvous hashing
    // keeps them from choosing the same engine.
    const auto rank = [this, &request](const placement_candidate& candidate) {
        const double free_slots =
            settings_.slot_utilization * candidate.engine->profile->slots - candidate.requests;
        const auto hash_step =
            static_cast<double>(spread_hash(request, *candidate.engine) % hash_steps + 1);
        return -std::log(hash_step / static_cast<double>(hash_steps + 1)) /
               std::max(free_slots, 1.0);
    };
    const placement_candidate* best = nullptr;
    for (const placement_candidate& candidate : shared) {
        if (acceptable(candidate, request, utilization) &&
            (best == nullptr || rank(candidate) < rank(*best))) {
            best = &candidate;
        }
    }
    return best;
}

const placement_candidate* interference_aware_placement::first_acceptable(
    const placement_request& request, const std::vector<placement_candidate>& candidates,
    double utilization) const {
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const placement_candidate& candidate) {
                                        return acceptable(candidate, request, utilization);
                                    });
    return found == candidates.end() ? nullptr : &*found;
}

const placement_candidate* interference_aware_placement::best_for_long_prompt(
    const placement_request& request, const std::vector<placement_candidate>& candidates) const {
    // Engines with streams are preferred if the streams are not delayed. Idle engines are left for
    // prompts that would delay any stream.
    const auto rank = [&request](const placement_candidate& candidate) {
        return std::make_tuple(candidate.requests == 0, candidate.pending_prefill,
                               candidate.requests, spread_hash(request, *candidate.engine));
    };
    const placement_candidate* best = nullptr;
    for (const placement_candidate& candidate : candidates) {
        if (acceptable(candidate, request, settings_.target_utilization) &&
            (best == nullptr || rank(candidate) < rank(*best))) {
            best = &candidate;
        }
    }
    return best;
}

void interference_aware_placement::exclude_engines_for_prompts_ahead(
    const placement_request& request, std::vector<placement_candidate>& candidates) const {
    std::size_t excluded = 0;
    for (const std::int64_t tokens : request.tokens_ahead) {
        excluded += engines_needed(*candidates.front().engine->profile, tokens, settings_);
    }
    for (; excluded > 0 && !candidates.empty(); --excluded) {
        const auto first =
            std::min_element(candidates.begin(), candidates.end(),
                             [](const placement_candidate& a, const placement_candidate& b) {
                                 return std::make_tuple(a.requests, a.pending_prefill, a.order) <
                                        std::make_tuple(b.requests, b.pending_prefill, b.order);
                             });
        candidates.erase(first);
    }
}

std::vector<placement_candidate> interference_aware_placement::spare_engines(
    const placement_request& request, const std::vector<placement_candidate>& candidates) const {
    std::vector<placement_candidate> spare;
    if (!request.all_work_known) {
        return spare;
    }
    const double needed = engines_for_streams(candidates, request.target_gap - duration(1));
    const auto reserved = std::min(
        candidates.size(), static_cast<std::size_t>(needed * settings_.short_prompt_growth) + 1);
    for (std::size_t index = reserved; index < candidates.size(); ++index) {
        const placement_candidate& candidate = candidates[index];
        if (candidate.requests == 0 && candidate.pending_prefill == duration::zero() &&
            !candidate.reads_long_prompt) {
            spare.push_back(candidate);
        }
    }
    std::sort(spare.begin(), spare.end(),
              [&request](const placement_candidate& a, const placement_candidate& b) {
                  return spread_hash(request, *a.engine) < spread_hash(request, *b.engine);
              });
    return spare;
}

bool interference_aware_placement::exceeds_one_engine(const placement_request& request,
                                                      const engine_profile& profile) const {
    return static_cast<double>(request.prompt_tokens + request.answer_tokens) >
           usable_memory_tokens(profile, settings_);
}

bool interference_aware_placement::exceeds_all_memory(
    const placement_request& request, const std::vector<placement_candidate>& engines) const {
    std::int64_t total_memory = 0;
    for (const placement_candidate& candidate : engines) {
        total_memory += candidate.engine->profile->memory_tokens;
    }
    return request.prompt_tokens + request.answer_tokens > total_memory;
}

placement_decision interference_aware_placement::place_short(
    const placement_request& request, std::vector<placement_candidate> candidates) const {
    const std::size_t shared_count = engines_for_short_prompts(request, candidates);
    group_short_prompts(request, candidates, shared_count);
    const std::vector<placement_candidate> shared(
        candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(shared_count));
    const double preferred = settings_.preferred_target_utilization;
    if (const placement_candidate* best = best_shared(request, shared, preferred)) {
        return place_whole(request, *best);
    }
    const bool too_large = too_large_for_shared(request, shared);
    if (!too_large) {
        if (const placement_candidate* first = first_acceptable(request, candidates, preferred)) {
            return place_whole(request, *first);
        }
    }
    if (const placement_candidate* best =
            best_shared(request, shared, settings_.target_utilization)) {
        return place_whole(request, *best);
    }
    if (too_large) {
        if (const auto split = splitter_.split(request, shared)) {
            return *split;
        }
    }
    if (const placement_candidate* first =
            first_acceptable(request, candidates, settings_.target_utilization)) {
        return place_whole(request, *first);
    }
    if (const auto split = splitter_.split(request, candidates)) {
        return *split;
    }
    // A late short prompt does not get an engine of its own, because it is late in any case.
    return place_late_short(request, std::move(candidates), shared_count);
}

placement_decision interference_aware_placement::place_long(
    const placement_request& request, std::vector<placement_candidate> candidates) const {
    if (!request.tokens_ahead.empty()) {
        exclude_engines_for_prompts_ahead(request, candidates);
        return place_on_fewest_engines(request, std::move(candidates));
    }
    const auto spread = splitter_.spread(request, spare_engines(request, candidates));
    placement_decision packed = place_on_fewest_engines(request, std::move(candidates));
    const bool spread_is_earlier =
        spread && (packed.outcome != placement_decision::verdict::place ||
                   spread->time_to_first_event < packed.time_to_first_event);
    return spread_is_earlier ? *spread : packed;
}

placement_decision interference_aware_placement::place_on_fewest_engines(
    const placement_request& request, std::vector<placement_candidate> candidates) const {
    const bool group =
        !candidates.empty() && exceeds_one_engine(request, *candidates.front().engine->profile);
    if (group) {
        return splitter_.form_group(request, std::move(candidates));
    }
    if (const placement_candidate* best = best_for_long_prompt(request, candidates)) {
        return place_whole(request, *best);
    }
    if (const auto split = splitter_.split(request, candidates)) {
        return *split;
    }
    return place_late(request, candidates, settings_.max_idle_prefill, candidates.size());
}

placement_decision interference_aware_placement::wait_or_refuse(
    const placement_request& request, const std::vector<placement_candidate>& engines,
    placement_decision decision) const {
    if (exceeds_all_memory(request, engines)) {
        decision.outcome = placement_decision::verdict::refuse;
        decision.reason = "larger than the memory of all engines";
        return decision;
    }
    const auto prediction = forecast_.predict(request, engines);
    if (!prediction) {
        return decision;
    }
    decision.time_to_first_event = prediction->time_to_first_event;
    decision.retry_after = prediction->start;
    if (prefill_time(*engines.front().engine->profile, request.prompt_tokens) >
        very_long_prefill_threshold) {
        // The forecast does not include prompts that arrive later and are placed first.
        decision.max_wait = prediction->start + settings_.forecast_margin;
    }
    decision.answer_expected = prediction->complete <= request.time_left;
    if (!decision.answer_expected) {
        decision.outcome = placement_decision::verdict::refuse;
        decision.reason = "no engine before the deadline";
    }
    return decision;
}

placement_decision interference_aware_placement::choose(const placement_request& request,
                                                        const std::vector<engine_view>& engines,
                                                        instant now) const {
    const auto cold = [](const engine_view& engine) { return engine.cold; };
    std::vector<engine_view> warm;
    if (std::any_of(engines.begin(), engines.end(), cold)) {
        std::remove_copy_if(engines.begin(), engines.end(), std::back_inserter(warm), cold);
    }
    if (!warm.empty()) {
        placement_decision decision = choose_among(request, warm, now);
        if (decision.outcome == placement_decision::verdict::place &&
            decision.time_to_first_event <= request.first_event_time_left) {
            return decision;
        }
    }
    return choose_among(request, engines, now);
}

placement_decision interference_aware_placement::choose_among(
    const placement_request& request, const std::vector<engine_view>& engines, instant now) const {
    const std::vector<placement_candidate> all = make_candidates(request, engines, now);
    if (all.empty()) {
        placement_decision none;
        none.reason = "no engine accepts work";
        return none;
    }
    const duration prefill = prefill_time(*all.front().engine->profile, request.prompt_tokens);
    if (prefill <= long_prefill_threshold) {
        return within_share(request, all, place_short(request, all));
    }
    placement_decision decision = place_long(request, all);
    if (decision.outcome == placement_decision::verdict::place &&
        gains_by_waiting(request, all, decision)) {
        decision = placement_decision();
        decision.reason = "enough engines expected in time";
    }
    decision.prompts_ahead = request.tokens_ahead.size();
    return decision.outcome == placement_decision::verdict::wait
               ? wait_or_refuse(request, all, std::move(decision))
               : decision;
}

}  // namespace fuchsiaquay
