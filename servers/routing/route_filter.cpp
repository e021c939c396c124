#include "servers/routing/route_filter.hpp"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>

#include "core/request/attempt_result.hpp"
#include "core/request/refusal.hpp"
#include "servers/decision_log.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/routing/engine_router.hpp"
#include "servers/timer_service.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_unavailable = 503;
constexpr duration no_upstream_retry_after = std::chrono::seconds(1);
/// Maximum number of choices in a log line.
constexpr std::size_t logged_choices = 4;

refusal no_upstream(const std::string& target) {
    refusal reason;
    reason.status = status_unavailable;
    reason.code = "no_upstream";
    reason.message = "no live upstream serves " + target;
    reason.retry_after = no_upstream_retry_after;
    return reason;
}

std::string score_text(double score) {
    constexpr std::size_t text_size = 32;
    char text[text_size] = {};
    std::snprintf(text, sizeof text, "%.4f", score);
    return text;
}

}  // namespace

route_filter::route_filter(timer_service& timers, decision_log& log, const upstream_view& upstreams,
                           engine_router& router)
    : timers_(timers), log_(log), upstreams_(upstreams), router_(router) {}

void route_filter::admit(const std::shared_ptr<request_flow>& flow,
                         const filter_callbacks& callbacks) {
    if (flow->context().kind == request_kind::service_call) {
        route_service(flow, callbacks);
        return;
    }
    route_completion(flow, callbacks);
}

void route_filter::route_service(const std::shared_ptr<request_flow>& flow,
                                 const filter_callbacks& callbacks) {
    std::optional<upstream> best;
    for (const upstream& replica : upstreams_.all()) {
        const bool fits = replica.kind == upstream_kind::service && !replica.leaving &&
                          replica.service == flow->context().service &&
                          flow->excluded.count(replica.id) == 0 &&
                          router_.accepts_requests(replica.id, timers_.now());
        if (fits && (!best || service_calls_[replica.id] < service_calls_[best->id])) {
            best = replica;
        }
    }
    if (!best) {
        callbacks.refuse(no_upstream("service " + flow->context().service.value()));
        return;
    }
    flow->plan.target = *best;
    flow->plan.grant_expiry = flow->deadline;
    flow->counted_service = best->id;
    ++service_calls_[best->id];
    router_.record_sent(best->id, timers_.now());
    log_.write(decision_log::level::info, "route",
               {{"request", flow->context().id.value()},
                {"customer", flow->terms->customer.value()},
                {"service", flow->context().service.value()},
                {"choice", best->id.value()},
                {"reason", "fewest_calls"}});
    callbacks.proceed();
}

void route_filter::route_completion(const std::shared_ptr<request_flow>& flow,
                                    const filter_callbacks& callbacks) {
    const instant now = timers_.now();
    flow->routing = router_.make_routing_request(*flow, now);
    flow->choices = router_.order_engines(*flow, flow->routing, now);
    if (flow->choices.empty()) {
        // The request needs more memory than any engine has. Order the engines without a memory
        // requirement, because each part of a group is placed separately.
        routing_request part = flow->routing;
        part.memory_tokens = 0;
        flow->choices = router_.order_engines(*flow, part, now);
    }
    if (flow->choices.empty()) {
        callbacks.refuse(no_upstream("model " + flow->context().model.value()));
        return;
    }
    log_choices(*flow);
    callbacks.proceed();
}

void route_filter::log_choices(const request_flow& flow) const {
    std::string scores;
    for (std::size_t i = 0; i < std::min(flow.choices.size(), logged_choices); ++i) {
        const scored_candidate& choice = flow.choices[i];
        scores += (i == 0 ? "" : ",") + choice.upstream.value() + ":" + score_text(choice.score);
    }
    const scored_candidate& best = flow.choices.front();
    log_.write(decision_log::level::info, "route",
               {{"request", flow.context().id.value()},
                {"customer", flow.terms->customer.value()},
                {"rank", flow.chosen_rank.name},
                {"prompt_tokens", std::to_string(flow.context().prompt_tokens)},
                {"expected_output", std::to_string(flow.routing.expected_output_tokens)},
                {"choice", best.upstream.value()},
                {"cached_tokens", std::to_string(best.cached_tokens)},
                {"scores", scores},
                {"reason", best.reason}});
}

void route_filter::finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result) {
    if (flow->counted_service.empty()) {
        return;
    }
    --service_calls_[flow->counted_service];
    router_.record_result(flow->counted_service, result, timers_.now());
    flow->counted_service = upstream_id();
}

}  // namespace fuchsiaquay
