#include "servers/reservation/reserve_filter.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/messages/grant_renewal.hpp"
#include "core/request/attempt_result.hpp"
#include "core/request/refusal.hpp"
#include "core/routing/group_part.hpp"
#include "core/routing/group_planner.hpp"
#include "core/routing/group_reservation.hpp"
#include "core/routing/reservation.hpp"
#include "core/routing/routing_actions.hpp"
#include "core/scheduling/upstream_settings.hpp"
#include "servers/decision_log.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/reservation/reservation_sender.hpp"
#include "servers/routing/engine_router.hpp"
#include "servers/views/host_view.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
/// KV cache size of an engine whose record does not contain it.
constexpr std::int64_t default_memory_tokens = 400'000;
/// Limits for the prompt tokens of a group that are processed by the generating engine: an absolute
/// maximum, and a divisor of the memory that an engine provides for a part.
constexpr std::int64_t generator_prompt_tokens = 16'000;
constexpr std::int64_t generator_memory_divisor = 10;
constexpr duration tick_period = std::chrono::milliseconds(20);
/// Short compared to the lifetime of a grant, so that the grant survives two lost renewals.
constexpr duration renew_period = std::chrono::seconds(2);

reserve_request make_reserve_request(const request_flow& flow, const host_id& self, instant now) {
    reserve_request request;
    request.request = request_id(flow.context().id.value() + "." + std::to_string(flow.attempts));
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

/// Returns the KV cache size of the smallest engine among the choices, in tokens.
std::int64_t smallest_engine_memory(const upstream_view& upstreams,
                                    const std::vector<scored_candidate>& choices) {
    std::int64_t smallest = default_memory_tokens;
    for (const scored_candidate& choice : choices) {
        const std::optional<upstream> engine = upstreams.find(choice.upstream);
        if (engine && engine->memory_tokens > 0) {
            smallest = std::min(smallest, engine->memory_tokens);
        }
    }
    return smallest;
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
    reserve_request request;
    std::shared_ptr<request_flow> flow;
    filter_callbacks callbacks;
    std::unique_ptr<reservation_protocol> steps;
    /// Set for a prompt that needs several engines: its parts, in the order of the grants.
    std::vector<group_part> parts;
    std::size_t group_attempts = 0;
    std::vector<reserve_reply> grants;
    /// Requests that wait in a queue. They are repeated, because a new owner does not know them.
    std::map<upstream_id, reserve_request> queued;
    std::map<upstream_id, reserve_request> requested;
};

reserve_filter::reserve_filter(timer_service& timers, decision_log& log, const host_view& hosts,
                               const upstream_view& upstreams, engine_router& router,
                               reservation_sender& sender, reservation_settings settings)
    : timers_(timers),
      log_(log),
      hosts_(hosts),
      upstreams_(upstreams),
      router_(router),
      sender_(sender),
      settings_(settings),
      tick_timer_(timers.every(tick_period, [this] { tick(); })),
      renew_timer_(timers.every(renew_period, [this] {
          renew_grants();
          resend_queued();
      })) {}

reserve_filter::~reserve_filter() {
    timers_.cancel(tick_timer_);
    timers_.cancel(renew_timer_);
}

void reserve_filter::admit(const std::shared_ptr<request_flow>& flow,
                           const filter_callbacks& callbacks) {
    if (flow->context().kind == request_kind::service_call) {
        callbacks.proceed();
        return;
    }
    auto item = std::make_shared<entry>();
    item->request = make_reserve_request(*flow, hosts_.host().host, timers_.now());
    item->flow = flow;
    item->callbacks = callbacks;
    entries_[item->request.request] = item;
    flow->reservation_id = item->request.request;
    start(item);
}

void reserve_filter::start(const std::shared_ptr<entry>& item) {
    const instant now = timers_.now();
    const request_flow& flow = *item->flow;
    item->request.time_left = flow.deadline - now;
    const std::int64_t engine_memory = smallest_engine_memory(upstreams_, flow.choices);
    const std::int64_t part_memory = engine_memory - short_prompt_memory(engine_memory);
    const group_planner planner(
        part_memory, std::min(generator_prompt_tokens, part_memory / generator_memory_divisor));
    const bool is_long = flow.routing.prompt_tokens > upstream_settings().long_prompt_tokens;
    const bool fits_one = flow.routing.memory_tokens <= engine_memory;
    if ((is_long || !fits_one) && planner.needs_group(flow.routing)) {
        routing_request part = flow.routing;
        part.memory_tokens = 0;  // each part fits, but not the whole prompt
        item->parts = planner.plan(flow.routing, router_.order_engines(flow, part, now));
        item->steps = std::make_unique<group_reservation>(item->request, item->parts, settings_,
                                                          item->group_attempts++, now);
    } else {
        item->steps = std::make_unique<reservation>(item->request, flow.choices, settings_, now);
    }
    execute(item, item->steps->start(now));
}

void reserve_filter::retry_later(const std::shared_ptr<entry>& item) {
    timers_.after(settings_.group_retry_delay, [this, item] {
        if (!item->flow->ended() && entries_.count(item->request.request) > 0) {
            start(item);
        }
    });
}

std::shared_ptr<reserve_filter::entry> reserve_filter::find(const request_id& reservation) const {
    // Ids of the parts of a group start with the id of the request: `<request>/<attempt>.<part>`.
    const std::string& name = reservation.value();
    const auto found = entries_.find(request_id(name.substr(0, name.find('/'))));
    return found == entries_.end() ? nullptr : found->second;
}

void reserve_filter::on_reply(const reserve_reply& reply) {
    const instant now = timers_.now();
    router_.observe(reply, now);
    if (const std::shared_ptr<entry> item = find(reply.request)) {
        update_queued(*item, reply);
        execute(item, item->steps->on_reply(reply, now));
        return;
    }
    if (reply.outcome == reserve_outcome::granted) {
        // The request ended before its grant arrived.
        sender_.send(grant_release{reply.grant, reply.request, reply.upstream, 0});
    }
}

void reserve_filter::update_queued(entry& item, const reserve_reply& reply) {
    const auto requested = item.requested.find(reply.upstream);
    const bool is_queued = reply.outcome == reserve_outcome::queued &&
                           requested != item.requested.end() &&
                           requested->second.request == reply.request;
    if (is_queued) {
        item.queued[reply.upstream] = requested->second;
    } else {
        item.queued.erase(reply.upstream);
    }
}

void reserve_filter::resend_queued() {
    const instant now = timers_.now();
    for (const auto& [id, item] : entries_) {
        if (!item->grants.empty()) {
            continue;
        }
        for (auto& [upstream, request] : item->queued) {
            request.time_left = item->flow->deadline - now;
            sender_.send(request);
        }
    }
}

void reserve_filter::execute(const std::shared_ptr<entry>& item, const routing_actions& actions) {
    for (const grant_release& release : actions.releases) {
        item->queued.erase(release.upstream);
        sender_.send(release);
    }
    for (const reserve_request& request : actions.reserves) {
        item->requested[request.upstream] = request;
        sender_.send(request);
    }
    for (const grant_renewal& renewal : actions.renewals) {
        sender_.send(renewal);
    }
    if (actions.outcome) {
        handle_outcome(item, *actions.outcome);
    }
}

void reserve_filter::handle_outcome(const std::shared_ptr<entry>& item,
                                    const routing_outcome& outcome) {
    log_.write(decision_log::level::info, "reserve",
               {{"request", item->request.request.value()},
                {"granted", outcome.granted ? "yes" : "no"},
                {"parts", std::to_string(outcome.grants.size())},
                {"reason", outcome.granted ? outcome.grants.front().reason : outcome.reason},
                {"retry_after_ms", std::to_string(to_milliseconds(outcome.retry_after))}});
    if (!outcome.granted && item->steps->may_retry()) {
        retry_later(item);
        return;
    }
    if (!outcome.granted) {
        item->callbacks.refuse(make_refusal(outcome));
        return;
    }
    item->grants = outcome.grants;
    if (!make_plan(*item)) {
        item->callbacks.refuse(make_refusal(routing_outcome{false, {}, {}, "no_upstream"}));
        return;
    }
    router_.attempt_started(*item->flow, timers_.now());
    item->callbacks.proceed();
}

bool reserve_filter::make_plan(entry& item) const {
    request_flow& flow = *item.flow;
    for (std::size_t i = 0; i < item.grants.size(); ++i) {
        const reserve_reply& grant = item.grants[i];
        const std::optional<upstream> target = upstreams_.find(grant.upstream);
        if (!target) {
            return false;
        }
        if (!item.parts.empty() && !item.parts[i].generates) {
            flow.plan.parts.push_back({*target, grant.grant, item.parts[i].prompt_tokens});
            continue;
        }
        flow.plan.target = *target;
        flow.plan.grant = grant.grant;
        flow.plan.priority = grant.engine_priority;
        flow.plan.grant_expiry = timers_.now() + grant.grant_lifetime;
    }
    for (const scored_candidate& choice : flow.choices) {
        if (choice.upstream == flow.plan.target.id) {
            flow.expected_cached_tokens = choice.cached_tokens;
        }
    }
    return true;
}

void reserve_filter::finish(const std::shared_ptr<request_flow>& flow,
                            const attempt_result& result) {
    const auto found = entries_.find(flow->reservation_id);
    if (found == entries_.end()) {
        return;
    }
    const std::shared_ptr<entry> item = found->second;
    entries_.erase(found);
    if (item->grants.empty()) {
        for (const grant_release& release : item->steps->cancel(timers_.now()).releases) {
            sender_.send(release);
        }
        return;
    }
    for (const reserve_reply& grant : item->grants) {
        const bool generates = grant.grant == flow->plan.grant;
        sender_.send(grant_release{grant.grant, grant.request, grant.upstream,
                                   generates ? result.generated_tokens : 0});
    }
    router_.attempt_ended(*flow, result, timers_.now());
}

void reserve_filter::tick() {
    const instant now = timers_.now();
    std::vector<std::shared_ptr<entry>> due;
    for (const auto& [id, item] : entries_) {
        if (!item->steps->finished() && item->steps->next_wakeup() <= now) {
            due.push_back(item);
        }
    }
    for (const std::shared_ptr<entry>& item : due) {
        execute(item, item->steps->tick(now));
    }
}

void reserve_filter::renew_grants() {
    for (const auto& [id, item] : entries_) {
        for (std::size_t i = 0; i < item->grants.size(); ++i) {
            const reserve_reply& grant = item->grants[i];
            grant_renewal renewal;
            renewal.grant = grant.grant;
            renewal.request = grant.request;
            renewal.upstream = grant.upstream;
            renewal.entry_host = hosts_.host().host;
            renewal.customer = item->request.customer;
            renewal.level = item->request.level;
            renewal.memory_tokens =
                item->parts.empty() ? item->request.memory_tokens : item->parts[i].memory_tokens;
            sender_.send(renewal);
        }
    }
}

}  // namespace fuchsiaquay
