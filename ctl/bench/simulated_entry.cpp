#include "ctl/bench/simulated_entry.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {
namespace {

constexpr std::int64_t final_part_tokens = 16'000;
constexpr int max_engine_retries = 3;
constexpr duration engine_retry_delay = std::chrono::milliseconds(100);
/// Remaining time that owners are told for a request with unlimited time.
constexpr duration unlimited_time = std::chrono::hours(1);

/// Removes the part number from a request id of the form `<request>/<part>`.
std::string base_request_id(const request_id& request) {
    return request.value().substr(0, request.value().find('/'));
}

}  // namespace

simulated_entry::simulated_entry(event_loop& loop, const experiment_settings& settings,
                                 const host_id& host,
                                 const std::vector<std::unique_ptr<simulated_upstream>>& upstreams,
                                 experiment_result& result)
    : loop_(loop),
      settings_(settings),
      host_(host),
      upstreams_(upstreams),
      result_(result),
      selector_(settings.variant.make_selector()),
      reservation_settings_(settings.variant.make_reservation_settings()),
      loads_(upstream_settings{}.tokens_per_second),
      planner_(settings.engine.memory_tokens - upstream_settings{}.short_memory_tokens,
               final_part_tokens) {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        indexes_[upstreams_[i]->id().value()] = i;
        loads_.add_upstream(upstreams_[i]->id(), upstreams_[i]->memory_tokens());
    }
}

void simulated_entry::handle(std::size_t number) {
    const workload_request& request = result_.records[number].request;
    const workload_customer& customer = settings_.profile.customers[request.customer];
    const std::string id = "r" + std::to_string(number);
    active_request& active = active_[id];
    active.number = number;
    active.routing.request = request_id(id);
    active.routing.customer = customer_id(customer.name);
    active.routing.model = model_id(request.assistant ? "assistant" : "ordering");
    active.routing.level = request.level;
    active.routing.prompt_tokens = request.prompt_tokens;
    active.routing.expected_output_tokens =
        outputs_.estimate(active.routing.customer, active.routing.model, request.max_tokens);
    active.routing.memory_tokens = request.prompt_tokens + request.max_tokens;
    active.routing.time_left = request.deadline;
    active.routing.prefix_hashes = request.prefix_hashes;
    reserve_request& reserve_terms = active.reserve_terms;
    reserve_terms.request = active.routing.request;
    reserve_terms.entry_host = host_;
    reserve_terms.customer = active.routing.customer;
    reserve_terms.weight = customer.weight;
    reserve_terms.level = request.level;
    reserve_terms.floor_share =
        settings_.profile.ranks[static_cast<std::size_t>(request.level)].floor_share;
    reserve_terms.prompt_tokens = request.prompt_tokens;
    reserve_terms.expected_output_tokens = active.routing.expected_output_tokens;
    reserve_terms.memory_tokens = active.routing.memory_tokens;
    loop_.run_at(request.arrival + request.deadline, [this, id] { on_deadline(id); });
    start_routing(active);
}

void simulated_entry::start_routing(active_request& active) {
    const workload_request& request = record_of(active).request;
    const std::string id = active.routing.request.value();
    active.parts.clear();
    active.reserve_terms.time_left = settings_.unlimited_time_requests.count(active.number) > 0
                                         ? unlimited_time
                                         : request.arrival + request.deadline - loop_.now();
    routing_actions actions;
    if (planner_.needs_group(active.routing)) {
        routing_request part = active.routing;
        // The parts fit on the engines, the whole request does not: its size must not exclude any.
        part.memory_tokens = 0;
        const auto parts = planner_.plan(active.routing, choose(part, request.assistant));
        active.group =
            std::make_unique<group_reservation>(active.reserve_terms, parts, reservation_settings_,
                                                active.group_attempts++, loop_.now());
        actions = active.group->start(loop_.now());
    } else {
        active.single = std::make_unique<reservation>(active.reserve_terms,
                                                      choose(active.routing, request.assistant),
                                                      reservation_settings_, loop_.now());
        actions = active.single->start(loop_.now());
    }
    execute(id, actions);
}

std::vector<scored_candidate> simulated_entry::choose(const routing_request& request,
                                                      bool assistant) {
    std::vector<routing_candidate> candidates;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        if ((i < settings_.profile.assistant_engines) != assistant) {
            continue;
        }
        routing_candidate candidate = loads_.candidate(upstreams_[i]->id(), loop_.now());
        candidate.cached_tokens =
            prefixes_.expected_tokens(upstreams_[i]->id(), request.prefix_hashes, loop_.now());
        candidates.push_back(candidate);
    }
    return selector_->order(request, candidates, loop_.now());
}

void simulated_entry::execute(const std::string& id, const routing_actions& actions) {
    for (const grant_release& release : actions.releases) {
        send_release(release);
    }
    for (const reserve_request& request : actions.reserves) {
        ++result_.reservation_messages;
        simulated_upstream& upstream = *upstreams_[upstream_index(request.upstream)];
        loop_.run_after(settings_.latency, [&upstream, request] { upstream.reserve(request); });
    }
    for (const grant_renewal& renewal : actions.renewals) {
        simulated_upstream& upstream = *upstreams_[upstream_index(renewal.upstream)];
        loop_.run_after(settings_.latency, [&upstream, renewal] { upstream.renew(renewal); });
    }
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    active_request& active = found->second;
    for (const reserve_reply& grant : actions.early_grants) {
        add_part(active, grant);
    }
    submit_ready(active);
    if (actions.outcome && actions.outcome->granted) {
        dispatch(active, *actions.outcome);
        return;
    }
    if (actions.outcome && active.group && active.group->may_retry()) {
        retry_group(id);
        return;
    }
    if (actions.outcome) {
        settle(id, request_record::result::refused, actions.outcome->reason);
        return;
    }
    schedule_tick(id, active.group ? active.group->next_wakeup() : active.single->next_wakeup());
}

void simulated_entry::retry_group(const std::string& id) {
    loop_.run_after(reservation_settings_.group_retry_delay, [this, id] {
        const auto found = active_.find(id);
        if (found != active_.end()) {
            start_routing(found->second);
        }
    });
}

void simulated_entry::schedule_tick(const std::string& id, instant when) {
    if (when == instant::max()) {
        return;
    }
    loop_.run_at(when, [this, id] {
        const auto found = active_.find(id);
        if (found == active_.end() || found->second.complete) {
            return;
        }
        active_request& active = found->second;
        const routing_actions actions =
            active.group ? active.group->tick(loop_.now()) : active.single->tick(loop_.now());
        if (!actions.releases.empty() || !actions.reserves.empty() || !actions.renewals.empty() ||
            actions.outcome) {
            execute(id, actions);
        }
    });
}

void simulated_entry::on_reply(const reserve_reply& reply) {
    loads_.observe(reply, loop_.now());
    const std::string id = base_request_id(reply.request);
    const auto found = active_.find(id);
    if (found == active_.end()) {
        if (reply.outcome == reserve_outcome::granted) {
            grant_release release;
            release.grant = reply.grant;
            release.request = reply.request;
            release.upstream = reply.upstream;
            send_release(release);
        }
        return;
    }
    active_request& active = found->second;
    const routing_actions actions = active.group ? active.group->on_reply(reply, loop_.now())
                                                 : active.single->on_reply(reply, loop_.now());
    execute(id, actions);
}

void simulated_entry::add_part(active_request& active, const reserve_reply& grant) {
    const std::size_t index = active.parts.size();
    dispatched_part part;
    part.upstream = upstream_index(grant.upstream);
    part.grant = grant.grant;
    part.request = grant.request;
    part.prompt_tokens = active.reserve_terms.prompt_tokens;
    part.memory_tokens = active.reserve_terms.memory_tokens;
    part.engine_priority = grant.engine_priority;
    if (active.group) {
        part.prompt_tokens = active.group->parts()[index].prompt_tokens;
        part.memory_tokens = active.group->parts()[index].memory_tokens;
        part.generates = active.group->parts()[index].generates;
    }
    loads_.started(grant.upstream, part.prompt_tokens);
    streams_[part.grant.value()] = active.routing.request.value();
    active.parts.push_back(part);
}

void simulated_entry::dispatch(active_request& active, const routing_outcome& outcome) {
    record_of(active).admitted = true;
    for (std::size_t i = active.parts.size(); i < outcome.grants.size(); ++i) {
        add_part(active, outcome.grants[i]);
    }
    active.complete = true;
    if (!active.group) {
        active.expected_cached = prefixes_.expected_tokens(
            upstreams_[active.parts[0].upstream]->id(), active.routing.prefix_hashes, loop_.now());
        prefixes_.stored(upstreams_[active.parts[0].upstream]->id(), active.routing.prefix_hashes,
                         loop_.now());
    }
    submit_ready(active);
    schedule_renewal(active.routing.request.value());
}

void simulated_entry::submit_ready(active_request& active) {
    const std::string id = active.routing.request.value();
    const bool all_held = active.complete && std::all_of(active.parts.begin(), active.parts.end(),
                                                         [](const dispatched_part& each) {
                                                             return each.generates || each.held;
                                                         });
    for (std::size_t i = 0; i < active.parts.size(); ++i) {
        dispatched_part& part = active.parts[i];
        if (!part.submitted && (!part.generates || all_held)) {
            part.submitted = true;
            loop_.run_after(settings_.latency, [this, id, i] { submit_part(id, i); });
        }
    }
}

void simulated_entry::submit_part(const std::string& id, std::size_t index) {
    const auto found = active_.find(id);
    if (found == active_.end() || index >= found->second.parts.size()) {
        return;
    }
    active_request& active = found->second;
    const dispatched_part& part = active.parts[index];
    const workload_request& request = record_of(active).request;
    stream_request stream;
    stream.stream_id = part.grant.value();
    stream.priority = part.engine_priority;
    stream.prefix_hashes = active.routing.prefix_hashes;
    stream.prompt_tokens = part.prompt_tokens;
    stream.max_tokens = part.generates ? request.output_tokens : 0;
    stream.hold = !part.generates;
    if (active.group) {
        stream.prefix_hashes.clear();
    }
    const submit_result submitted = upstreams_[part.upstream]->submit(stream);
    if (submitted == submit_result::accepted) {
        return;
    }
    ++result_.engine_refusals;
    if (++active.engine_retries > max_engine_retries) {
        settle(id, request_record::result::failed, "engine_memory");
        return;
    }
    loop_.run_after(engine_retry_delay, [this, id, index] { submit_part(id, index); });
}

void simulated_entry::on_engine_event(const engine_event& event) {
    const auto stream = streams_.find(event.stream_id);
    if (stream == streams_.end()) {
        return;
    }
    const std::string id = stream->second;
    active_request& active = active_.at(id);
    request_record& record = record_of(active);
    if (event.type == engine_event::kind::held) {
        for (dispatched_part& part : active.parts) {
            part.held = part.held || part.grant.value() == event.stream_id;
        }
        submit_ready(active);
        return;
    }
    if (event.type == engine_event::kind::token) {
        record.first_token = std::min(record.first_token, loop_.now() - record.request.arrival);
        return;
    }
    record.cached_tokens = event.cached_tokens;
    outputs_.observe(active.routing.customer, active.routing.model, record.request.output_tokens);
    if (!active.group) {
        prefixes_.adjust_trust(upstreams_[active.parts[0].upstream]->id(), active.expected_cached,
                               event.cached_tokens);
    }
    settle(id, request_record::result::finished, "done");
}

void simulated_entry::schedule_renewal(const std::string& id) {
    loop_.run_after(settings_.renewal_interval, [this, id] {
        const auto found = active_.find(id);
        if (found == active_.end() || !found->second.complete) {
            return;
        }
        for (const dispatched_part& part : found->second.parts) {
            grant_renewal renewal;
            renewal.grant = part.grant;
            renewal.request = part.request;
            renewal.entry_host = host_;
            renewal.customer = found->second.reserve_terms.customer;
            renewal.level = found->second.reserve_terms.level;
            renewal.memory_tokens = part.memory_tokens;
            simulated_upstream& upstream = *upstreams_[part.upstream];
            renewal.upstream = upstream.id();
            loop_.run_after(settings_.latency, [&upstream, renewal] { upstream.renew(renewal); });
        }
        schedule_renewal(id);
    });
}

void simulated_entry::on_deadline(const std::string& id) {
    if (active_.count(id) > 0) {
        settle(id, request_record::result::failed, "deadline");
    }
}

void simulated_entry::settle(const std::string& id, request_record::result outcome,
                             const std::string& reason) {
    active_request& active = active_.at(id);
    request_record& record = record_of(active);
    record.outcome = outcome;
    record.reason = reason;
    record.ended = loop_.now() - record.request.arrival;
    if (!active.complete) {
        const routing_actions actions =
            active.group ? active.group->cancel(loop_.now()) : active.single->cancel(loop_.now());
        for (const grant_release& release : actions.releases) {
            send_release(release);
        }
    }
    for (const dispatched_part& part : active.parts) {
        simulated_upstream& upstream = *upstreams_[part.upstream];
        if (outcome != request_record::result::finished || !part.generates) {
            const std::string stream = part.grant.value();
            loop_.run_after(settings_.latency, [&upstream, stream] { upstream.cancel(stream); });
        }
        loads_.ended(upstream.id(), part.prompt_tokens);
        streams_.erase(part.grant.value());
        grant_release release;
        release.grant = part.grant;
        release.request = part.request;
        release.upstream = upstream.id();
        release.generated_tokens = part.generates ? record.request.output_tokens : 0;
        send_release(release);
    }
    active_.erase(id);
}

void simulated_entry::send_release(const grant_release& release) {
    simulated_upstream& upstream = *upstreams_[upstream_index(release.upstream)];
    loop_.run_after(settings_.latency, [&upstream, release] { upstream.release(release); });
}

void simulated_entry::read_cache_events(simulated_upstream& upstream) {
    std::uint64_t& last = read_events_[upstream.id().value()];
    for (const cache_event& event : upstream.cache_events(last)) {
        prefixes_.on_cache_event(upstream.id(), event.id);
        if (event.type == cache_event::kind::stored) {
            prefixes_.stored(upstream.id(), {event.prefix_hash}, loop_.now());
        } else {
            prefixes_.evicted(upstream.id(), event.prefix_hash);
        }
        last = std::max(last, event.id);
    }
}

std::size_t simulated_entry::upstream_index(const upstream_id& upstream) const {
    return indexes_.at(upstream.value());
}

request_record& simulated_entry::record_of(const active_request& active) {
    return result_.records[active.number];
}

}  // namespace fuchsiaquay
