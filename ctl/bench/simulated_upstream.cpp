#include "ctl/bench/simulated_upstream.hpp"

#include <algorithm>

#include "core/scheduling/engine_report.hpp"
#include "core/scheduling/queue_policy.hpp"

namespace fuchsiaquay {
namespace {

upstream_settings owner_settings(const experiment_settings& settings, const upstream_id& upstream,
                                 const host_id& owner) {
    upstream_settings own = settings.variant.make_upstream_settings();
    own.upstream = upstream;
    own.owner = owner;
    own.incarnation = 1;
    own.memory_tokens = settings.engine.memory_tokens;
    return own;
}

stream_phase phase_of(stream_status::state state) {
    switch (state) {
        case stream_status::state::waiting:
            return stream_phase::waiting;
        case stream_status::state::prefill:
            return stream_phase::prefill;
        case stream_status::state::held:
            return stream_phase::held;
        case stream_status::state::decode:
            break;
    }
    return stream_phase::decode;
}

}  // namespace

simulated_upstream::simulated_upstream(event_loop& loop, const experiment_settings& settings,
                                       const upstream_id& upstream, const host_id& owner,
                                       std::uint64_t seed)
    : loop_(loop),
      poll_interval_(settings.poll_interval),
      engine_(settings.engine, seed),
      queue_(owner_settings(settings, upstream, owner),
             settings.variant.make_queue(upstream_settings{}.tokens_per_second), false,
             loop.now()) {}

void simulated_upstream::start(instant end) {
    poll_end_ = end;
    loop_.run_after(poll_interval_, [this] { poll(); });
}

void simulated_upstream::reserve(const reserve_request& request) {
    execute(queue_.reserve(request, loop_.now()));
}

void simulated_upstream::release(const grant_release& release) {
    execute(queue_.release(release, loop_.now()));
}

void simulated_upstream::renew(const grant_renewal& renewal) {
    execute(queue_.renew(renewal, loop_.now()));
}

submit_result simulated_upstream::submit(const stream_request& request) {
    advance_engine();
    const submit_result result = engine_.submit(request, loop_.now());
    schedule_engine();
    return result;
}

void simulated_upstream::cancel(const std::string& stream_id) {
    advance_engine();
    engine_.cancel(stream_id, loop_.now());
}

std::vector<cache_event> simulated_upstream::cache_events(std::uint64_t after) {
    return engine_.cache_events(after, loop_.now());
}

std::int64_t simulated_upstream::used_tokens() const {
    return std::max(engine_.settings().memory_tokens - engine_.free_memory_tokens(),
                    queue_.settings().memory_tokens - queue_.free_memory_tokens());
}

void simulated_upstream::execute(const scheduling_actions& actions) {
    for (const grant_id& grant : actions.cancels) {
        cancel(grant.value());
    }
    for (const addressed_reply& reply : actions.replies) {
        reply_handler_(reply);
    }
    schedule_owner();
}

void simulated_upstream::advance_engine() {
    for (const engine_event& event : engine_.advance(loop_.now())) {
        engine_handler_(event);
    }
}

void simulated_upstream::schedule_engine() {
    const instant next = engine_.next_event();
    if (next >= engine_wakeup_) {
        return;
    }
    engine_wakeup_ = next;
    loop_.run_at(next, [this, next] {
        if (engine_wakeup_ != next) {
            return;
        }
        engine_wakeup_ = instant::max();
        advance_engine();
        schedule_engine();
    });
}

void simulated_upstream::schedule_owner() {
    const instant next = queue_.next_wakeup(loop_.now());
    if (next >= owner_wakeup_) {
        return;
    }
    owner_wakeup_ = next;
    loop_.run_at(next, [this, next] {
        if (owner_wakeup_ != next) {
            return;
        }
        owner_wakeup_ = instant::max();
        execute(queue_.tick(loop_.now()));
    });
}

void simulated_upstream::poll() {
    advance_engine();
    engine_report report;
    report.memory_tokens = engine_.settings().memory_tokens;
    report.asked_at = loop_.now();
    for (const stream_status& status : engine_.streams()) {
        report.streams.push_back(engine_stream{grant_id(status.stream_id), status.memory_tokens,
                                               status.generated, phase_of(status.phase)});
    }
    execute(queue_.observe_engine(report, loop_.now()));
    if (loop_.now() < poll_end_) {
        loop_.run_after(poll_interval_, [this] { poll(); });
    }
}

}  // namespace fuchsiaquay
