#include "servers/reservation/reserve_filter.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/messages/grant_renewal.hpp"
#include "core/request/attempt_result.hpp"
#include "core/request/refusal.hpp"
#include "core/routing/reservation.hpp"
#include "core/routing/routing_actions.hpp"
#include "servers/decision_log.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/reservation/reservation_link.hpp"
#include "servers/routing/engine_router.hpp"
#include "servers/views/host_view.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr duration tick_period = std::chrono::milliseconds(20);
/// Well inside the lifetime of a grant, so that two lost renewals do no harm.
constexpr duration renew_period = std::chrono::seconds(2);

reserve_request make_reserve_request(const request_flow& flow, const host_id& self, instant now) {
    reserve_request request;
    request.request =
        request_id(flow.context().id.value() + "." + std::to_string(flow.attempts));
    request.entry_host = self;
    request.customer = flow.terms->customer;
    request.weight = flow.terms->weight;
    request.level = flow.chosen_rank.level;
    request.floor_share = flow.chosen_rank.floor_share;
    request.prompt_tokens = flow.context().prompt_tokens;
    request.expected_output_tokens = flow.routing.expected_output_tokens;
    request.memory_tokens = flow.routing.memory_tokens;
    request.time_left = flow.deadline - now;
    return request;
}

refusal make_refusal(const routing_outcome& outcome) {
    refusal reason;
    reason.status = outcome.reason == "no_upstream" ? status_unavailable : status_too_many;
    reason.code = outcome.reason;
    reason.message = "no upstream can serve this request in time";
    reason.retry_after = outcome.retry_after;
    return reason;
}

}  // namespace

struct reserve_filter::entry {
    entry(const reserve_request& asked, std::shared_ptr<request_flow> owner,
          const reservation_settings& settings, instant now, verdict how)
        : request(asked),
          flow(std::move(owner)),
          decide(std::move(how)),
          steps(request, flow->choices, settings, now) {}

    reserve_request request;
    std::shared_ptr<request_flow> flow;
    verdict decide;
    reservation steps;
    std::optional<reserve_reply> grant;
};

reserve_filter::reserve_filter(timer_service& timers, decision_log& log, const host_view& hosts,
                               const upstream_view& upstreams, engine_router& router,
                               reservation_link& link, reservation_settings settings)
    : timers_(timers),
      log_(log),
      hosts_(hosts),
      upstreams_(upstreams),
      router_(router),
      link_(link),
      settings_(settings),
      tick_timer_(timers.every(tick_period, [this] { tick(); })),
      renew_timer_(timers.every(renew_period, [this] { renew_grants(); })) {}

reserve_filter::~reserve_filter() {
    timers_.cancel(tick_timer_);
    timers_.cancel(renew_timer_);
}

void reserve_filter::admit(const std::shared_ptr<request_flow>& flow, const verdict& decide) {
    if (flow->context().kind == request_kind::service_call) {
        decide.proceed();
        return;
    }
    const instant now = timers_.now();
    const reserve_request request = make_reserve_request(*flow, hosts_.host().host, now);
    auto item = std::make_shared<entry>(request, flow, settings_, now, decide);
    entries_[request.request] = item;
    flow->reservation_id = request.request;
    carry_out(item, item->steps.start(now));
}

void reserve_filter::on_reply(const reserve_reply& reply) {
    const instant now = timers_.now();
    router_.observe(reply, now);
    const auto found = entries_.find(reply.request);
    if (found != entries_.end()) {
        const std::shared_ptr<entry> item = found->second;
        carry_out(item, item->steps.on_reply(reply, now));
        return;
    }
    if (reply.outcome == reserve_outcome::granted) {
        // The request ended before its grant arrived.
        link_.send(grant_release{reply.grant, reply.request, reply.upstream, 0});
    }
}

void reserve_filter::carry_out(const std::shared_ptr<entry>& item, const routing_actions& actions) {
    for (const grant_release& release : actions.releases) {
        link_.send(release);
    }
    for (const reserve_request& request : actions.reserves) {
        link_.send(request);
    }
    if (actions.outcome) {
        conclude(item, *actions.outcome);
    }
}

void reserve_filter::conclude(const std::shared_ptr<entry>& item, const routing_outcome& outcome) {
    request_flow& flow = *item->flow;
    if (!outcome.granted) {
        item->decide.refuse(make_refusal(outcome));
        return;
    }
    const reserve_reply& grant = outcome.grants.front();
    const std::optional<upstream> target = upstreams_.find(grant.upstream);
    item->grant = grant;
    if (!target) {
        item->decide.refuse(make_refusal(routing_outcome{false, {}, {}, "no_upstream"}));
        return;
    }
    const instant now = timers_.now();
    flow.plan.target = *target;
    flow.plan.grant = grant.grant;
    flow.plan.priority = grant.engine_priority;
    flow.plan.grant_expiry = now + grant.grant_lifetime;
    for (const scored_candidate& choice : flow.choices) {
        if (choice.upstream == grant.upstream) {
            flow.expected_cached_tokens = choice.cached_tokens;
        }
    }
    router_.started(flow, now);
    item->decide.proceed();
}

void reserve_filter::settle(const std::shared_ptr<request_flow>& flow,
                            const attempt_result& result) {
    const auto found = entries_.find(flow->reservation_id);
    if (found == entries_.end()) {
        return;
    }
    const std::shared_ptr<entry> item = found->second;
    entries_.erase(found);
    if (!item->grant) {
        for (const grant_release& release : item->steps.cancel(timers_.now()).releases) {
            link_.send(release);
        }
        return;
    }
    link_.send(grant_release{item->grant->grant, item->request.request, item->grant->upstream,
                             result.generated_tokens});
    router_.ended(*flow, result, timers_.now());
}

void reserve_filter::tick() {
    const instant now = timers_.now();
    std::vector<std::shared_ptr<entry>> due;
    for (const auto& [id, item] : entries_) {
        if (!item->steps.finished() && item->steps.next_wakeup() <= now) {
            due.push_back(item);
        }
    }
    for (const std::shared_ptr<entry>& item : due) {
        carry_out(item, item->steps.tick(now));
    }
}

void reserve_filter::renew_grants() {
    for (const auto& [id, item] : entries_) {
        if (!item->grant) {
            continue;
        }
        grant_renewal renewal;
        renewal.grant = item->grant->grant;
        renewal.request = id;
        renewal.upstream = item->grant->upstream;
        renewal.entry_host = hosts_.host().host;
        renewal.customer = item->request.customer;
        renewal.level = item->request.level;
        renewal.memory_tokens = item->request.memory_tokens;
        link_.send(renewal);
    }
}

}  // namespace fuchsiaquay
