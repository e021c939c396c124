#include "core/routing/length_aware_selector.hpp"

#include <algorithm>

#include "core/hashing/hash.hpp"
#include "core/routing/score_order.hpp"

namespace fuchsiaquay {
namespace {

/// Added to the score of upstreams without enough free memory, so that they are ordered last.
constexpr double full_memory_penalty_seconds = 1.0;

}  // namespace

length_aware_selector::length_aware_selector(const length_aware_settings& settings)
    : settings_(settings) {}

std::vector<scored_candidate> length_aware_selector::order(
    const routing_request& request, const std::vector<routing_candidate>& candidates,
    instant /*now*/) {
    if (request.prompt_tokens > settings_.long_prompt_tokens) {
        return order_long(request, candidates);
    }
    std::vector<scored_candidate> scored;
    for (const routing_candidate& candidate : candidates) {
        if (can_hold(candidate, request)) {
            scored.push_back(score_short(request, candidate));
        }
    }
    sort_by_score(scored);
    return scored;
}

std::string length_aware_selector::name() const {
    return "length_aware";
}

scored_candidate length_aware_selector::score_short(const routing_request& request,
                                                    const routing_candidate& candidate) const {
    const double wait = prefill_seconds(candidate.queued_short_tokens);
    const bool busy = wait > to_seconds(settings_.max_affinity_wait);
    const std::int64_t cached = busy ? 0 : candidate.cached_tokens;
    const double prefill = prefill_seconds(static_cast<double>(request.prompt_tokens - cached));
    const double long_prefill =
        candidate.long_prefill_frequency * to_seconds(settings_.long_prefill_cost);
    const double running_request_cost = static_cast<double>(candidate.running_requests) *
                                        to_seconds(settings_.running_request_cost);
    const bool full = candidate.free_memory_tokens < request.memory_tokens;
    const double score = wait + prefill + long_prefill + running_request_cost +
                         (full ? full_memory_penalty_seconds : 0.0) +
                         tie_breaker(request, candidate) * to_seconds(settings_.tie_break_range);
    return scored_candidate{candidate.upstream, score, candidate.cached_tokens,
                            cached > 0 ? "prefix" : "wait"};
}

std::vector<scored_candidate> length_aware_selector::order_long(
    const routing_request& request, const std::vector<routing_candidate>& candidates) const {
    std::vector<const routing_candidate*> shared_order;
    for (const routing_candidate& candidate : candidates) {
        if (can_hold(candidate, request)) {
            shared_order.push_back(&candidate);
        }
    }
    const std::uint64_t seed = stable_hash(request.model.value());
    std::sort(shared_order.begin(), shared_order.end(),
              [seed](const routing_candidate* a, const routing_candidate* b) {
                  return stable_hash(a->upstream.value(), seed) <
                         stable_hash(b->upstream.value(), seed);
              });
    std::vector<scored_candidate> scored;
    for (std::size_t i = 0; i < shared_order.size(); ++i) {
        const routing_candidate& candidate = *shared_order[i];
        const double wait = prefill_seconds(candidate.queued_long_tokens);
        const bool full = candidate.free_memory_tokens < request.memory_tokens;
        const bool available = wait <= to_seconds(settings_.max_long_wait) && !full;
        const double saved_prefill = prefill_seconds(static_cast<double>(candidate.cached_tokens));
        const double position = static_cast<double>(i) * to_seconds(settings_.tie_break_range);
        // Available upstreams are sorted by the shared order, the others by their wait.
        const double score = available ? position - saved_prefill
                                       : wait + full_memory_penalty_seconds +
                                             static_cast<double>(shared_order.size()) *
                                                 to_seconds(settings_.tie_break_range);
        scored.push_back(scored_candidate{candidate.upstream, score, candidate.cached_tokens,
                                          available ? "long_part" : "long_busy"});
    }
    sort_by_score(scored);
    return scored;
}

}  // namespace fuchsiaquay
