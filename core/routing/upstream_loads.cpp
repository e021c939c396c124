#include "core/routing/upstream_loads.hpp"

#include <algorithm>

namespace fuchsiaquay {
namespace {

constexpr double presence_learning_rate = 0.2;

}  // namespace

upstream_loads::upstream_loads(double tokens_per_second) : tokens_per_second_(tokens_per_second) {}

void upstream_loads::add_upstream(const upstream_id& upstream, std::int64_t memory_tokens) {
    entry& added = entries_[upstream];
    added.known.upstream = upstream;
    added.known.memory_tokens = memory_tokens;
    added.known.free_memory_tokens = memory_tokens;
}

void upstream_loads::remove_upstream(const upstream_id& upstream) {
    entries_.erase(upstream);
}

void upstream_loads::observe(const reserve_reply& reply, instant now) {
    const auto found = entries_.find(reply.upstream);
    if (found == entries_.end()) {
        return;
    }
    routing_candidate& known = found->second.known;
    known.free_memory_tokens = reply.free_memory_tokens;
    known.queued_long_tokens = static_cast<double>(reply.queued_long_tokens);
    known.queued_short_tokens =
        static_cast<double>(reply.queued_prefill_tokens - reply.queued_long_tokens);
    known.running_requests = reply.running_requests;
    const double present = reply.queued_long_tokens > 0 ? 1.0 : 0.0;
    known.long_prefill_frequency +=
        presence_learning_rate * (present - known.long_prefill_frequency);
    found->second.observed_at = now;
}

void upstream_loads::started(const upstream_id& upstream, std::int64_t tokens) {
    const auto found = entries_.find(upstream);
    if (found != entries_.end()) {
        ++found->second.known.own_requests;
        found->second.known.own_tokens += tokens;
    }
}

void upstream_loads::ended(const upstream_id& upstream, std::int64_t tokens) {
    const auto found = entries_.find(upstream);
    if (found != entries_.end()) {
        --found->second.known.own_requests;
        found->second.known.own_tokens -= tokens;
    }
}

routing_candidate upstream_loads::candidate(const upstream_id& upstream, instant now) const {
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        routing_candidate unknown;
        unknown.upstream = upstream;
        return unknown;
    }
    routing_candidate current = found->second.known;
    double done = tokens_per_second_ * to_seconds(now - found->second.observed_at);
    const double short_done = std::min(done, current.queued_short_tokens);
    current.queued_short_tokens -= short_done;
    done -= short_done;
    current.queued_long_tokens = std::max(current.queued_long_tokens - done, 0.0);
    return current;
}

}  // namespace fuchsiaquay
