#include "servers/routing/engine_router.hpp"

#include <algorithm>
#include <utility>

#include "core/request/attempt_result.hpp"
#include "core/routing/routing_candidate.hpp"
#include "core/routing/upstream_selector.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

namespace {

bool serves(const upstream& engine, const model_id& model) {
    return engine.kind == upstream_kind::engine && !engine.leaving &&
           std::find(engine.models.begin(), engine.models.end(), model) != engine.models.end();
}

}  // namespace

engine_router::engine_router(const upstream_view& upstreams,
                             std::unique_ptr<upstream_selector> selector, double tokens_per_second)
    : upstreams_(upstreams),
      selector_(std::move(selector)),
      loads_(tokens_per_second),
      health_(breaker_settings()) {}

engine_router::~engine_router() = default;

routing_request engine_router::make_routing_request(const request_flow& flow, instant now) const {
    const request_context& context = flow.context();
    routing_request request;
    request.request = context.id;
    request.customer = flow.terms->customer;
    request.model = context.model;
    request.level = flow.chosen_rank.level;
    request.prompt_tokens = context.prompt_tokens;
    const std::int64_t tokens_left = context.max_tokens - flow.plan.resume_offset;
    request.expected_output_tokens = estimator_.estimate(flow.terms->customer, context.model,
                                                         std::max<std::int64_t>(tokens_left, 1));
    request.memory_tokens = context.prompt_tokens + context.max_tokens;
    request.time_left = flow.deadline - now;
    request.prefix_hashes = context.prefix_hashes;
    return request;
}

std::vector<scored_candidate> engine_router::order_engines(const request_flow& flow,
                                                           const routing_request& request,
                                                           instant now) {
    std::vector<routing_candidate> candidates;
    for (const upstream& engine : upstreams_.all()) {
        if (!serves(engine, request.model) || flow.excluded.count(engine.id) > 0 ||
            !health_.allows(engine.id, now)) {
            continue;
        }
        loads_.add_upstream(engine.id, engine.memory_tokens);
        routing_candidate candidate = loads_.candidate(engine.id, now);
        candidate.cached_tokens = prefixes_.expected_tokens(engine.id, request.prefix_hashes, now);
        candidates.push_back(std::move(candidate));
    }
    return selector_->order(request, candidates, now);
}

void engine_router::observe(const reserve_reply& reply, instant now) {
    loads_.observe(reply, now);
}

void engine_router::attempt_started(const request_flow& flow, instant now) {
    record_sent(flow.plan.target.id, now);
    loads_.started(flow.plan.target.id, flow.context().prompt_tokens);
    prefixes_.stored(flow.plan.target.id, flow.context().prefix_hashes, now);
}

void engine_router::record_result(const upstream_id& id, const attempt_result& result,
                                  instant now) {
    if (result.completed || result.failure == "out_of_memory") {
        health_.on_result(id, attempt_evidence::answered, now);
    } else if (result.failure == "stalled") {
        health_.on_result(id, attempt_evidence::stalled_reused_connection, now);
    } else if (result.failure == "connect" || result.failure == "broken" ||
               result.failure == "closed") {
        health_.on_result(id, attempt_evidence::failed, now);
    }
}

void engine_router::attempt_ended(const request_flow& flow, const attempt_result& result,
                                  instant now) {
    record_result(flow.plan.target.id, result, now);
    loads_.ended(flow.plan.target.id, flow.context().prompt_tokens);
    if (!result.completed) {
        return;
    }
    estimator_.observe(flow.terms->customer, flow.context().model, result.generated_tokens);
    prefixes_.adjust_trust(flow.plan.target.id, flow.expected_cached_tokens, result.cached_tokens);
}

}  // namespace fuchsiaquay
