#include "core/routing/upstream_loads.hpp"

#include <algorithm>

namespace fuchsiaquay {
namespace {

constexpr double presence_learning_rate = 0.2;

}  // namespace

upstream_loads::upstream_loads(double tokens_per_second) : tokens_per_second_(tokens_per_second) {}

void upstream_loads::add_upstream(const upstream_id& upstream, std::int64_t memory_tokens) {
    entry& added = entries_[upstream];
    added.last_known.upstream = upstream;
    added.last_known.memory_tokens = memory_tokens;
    added.last_known.free_memory_tokens = memory_tokens;
}

void upstream_loads::remove_upstream(const upstream_id& upstream) {
    entries_.erase(upstream);
}

void upstream_loads::observe(const reserve_reply& reply, instant now) {
    const auto found = entries_.find(reply.upstream);
    if (found == entries_.end()) {
        return;
    }
    routing_candidate& last = found->second.last_known;
    last.free_memory_tokens = reply.free_memory_tokens;
    last.queued_long_tokens = static_cast<double>(reply.queued_long_tokens);
    last.queued_short_tokens =
        static_cast<double>(reply.queued_prefill_tokens - reply.queued_long_tokens);
    last.running_requests = reply.running_requests;
    const double present = reply.queued_long_tokens > 0 ? 1.0 : 0.0;
    last.long_prefill_frequency += presence_learning_rate * (present - last.long_prefill_frequency);
    found->second.observed_at = now;
}

void upstream_loads::started(const upstream_id& upstream, std::int64_t tokens) {
    const auto found = entries_.find(upstream);
    if (found != entries_.end()) {
        ++found->second.last_known.own_requests;
        found->second.last_known.own_tokens += tokens;
    }
}

void upstream_loads::ended(const upstream_id& upstream, std::int64_t tokens) {
    const auto found = entries_.find(upstream);
    if (found != entries_.end()) {
        --found->second.last_known.own_requests;
        found->second.last_known.own_tokens -= tokens;
    }
}

routing_candidate upstream_loads::candidate(const upstream_id& upstream, instant now) const {
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        routing_candidate unknown;
        unknown.upstream = upstream;
        return unknown;
    }
    routing_candidate current = found->second.last_known;
    double done = tokens_per_second_ * to_seconds(now - found->second.observed_at);
    const double short_done = std::min(done, current.queued_short_tokens);
    current.queued_short_tokens -= short_done;
    done -= short_done;
    current.queued_long_tokens = std::max(current.queued_long_tokens - done, 0.0);
    return current;
}

}  // namespace fuchsiaquay
