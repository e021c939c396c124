#include "servers/reservation/owner_service.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/ownership/ownership.hpp"
#include "core/scheduling/engine_report.hpp"
#include "core/scheduling/fair_rank_policy.hpp"
#include "core/scheduling/upstream_queue.hpp"
#include "core/upstreams/upstream.hpp"
#include "servers/decision_log.hpp"
#include "servers/peer_transport.hpp"
#include "servers/reservation/engine_admin.hpp"
#include "servers/reservation/owner_locator.hpp"
#include "servers/views/host_view.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

namespace {

constexpr duration tick_period = std::chrono::milliseconds(5);
/// A queue without pending requests still has to end its rebuilding phase and expired grants.
constexpr duration idle_tick_period = std::chrono::milliseconds(200);
/// Interval at which engines with grants are polled for their streams. Others are polled once a
/// second.
constexpr duration poll_period = std::chrono::milliseconds(250);
constexpr duration idle_poll_period = std::chrono::seconds(1);
/// Shorter than the suspicion timeout of the membership protocol, so that no other owner can have
/// been chosen during a shorter pause.
constexpr duration pause_limit = std::chrono::seconds(2);
constexpr duration refused_retry_after = std::chrono::milliseconds(200);

reserve_reply not_owner(const reserve_request& request) {
    reserve_reply reply;
    reply.request = request.request;
    reply.upstream = request.upstream;
    reply.outcome = reserve_outcome::refused;
    reply.retry_after = refused_retry_after;
    reply.reason = "not_owner";
    return reply;
}

}  // namespace

struct owner_service::owned_upstream {
    owned_upstream(upstream known, const upstream_settings& settings, instant now)
        : target(std::move(known)),
          queue(settings, std::make_unique<fair_rank_policy>(settings.tokens_per_second), true,
                now) {}

    upstream target;
    upstream_queue queue;
    bool polling = false;
    instant ticked_at{};
    instant polled_at{};
};

owner_service::owner_service(timer_service& timers, decision_log& log, const host_view& hosts,
                             const upstream_view& upstreams, const owner_locator& owners,
                             peer_transport& transport, engine_admin& engines,
                             upstream_settings defaults)
    : timers_(timers),
      log_(log),
      hosts_(hosts),
      upstreams_(upstreams),
      owners_(owners),
      transport_(transport),
      engines_(engines),
      defaults_(std::move(defaults)),
      last_tick_(timers.now()),
      tick_timer_(timers.after(idle_tick_period, [this] { tick(); })),
      poll_timer_(timers.every(poll_period, [this] { poll_engines(); })) {}

owner_service::~owner_service() {
    timers_.cancel(tick_timer_);
    timers_.cancel(poll_timer_);
}

const upstream_queue* owner_service::queue(const upstream_id& id) const {
    const auto found = queues_.find(id);
    return found == queues_.end() ? nullptr : &found->second->queue;
}

owner_service::owned_upstream* owner_service::find(const upstream_id& id) {
    const auto found = queues_.find(id);
    return found == queues_.end() ? nullptr : found->second.get();
}

void owner_service::reserve(const reserve_request& request) {
    owned_upstream* owned = find(request.upstream);
    if (owned == nullptr) {
        refresh();
        owned = find(request.upstream);
    }
    if (owned == nullptr || owned->target.leaving) {
        upstream unknown;
        unknown.id = request.upstream;
        scheduling_actions actions;
        actions.replies.push_back({request.entry_host, not_owner(request)});
        const owned_upstream placeholder(unknown, defaults_, timers_.now());
        execute(placeholder, actions);
        return;
    }
    execute(*owned, owned->queue.reserve(request, timers_.now()));
    tick_soon();
}

void owner_service::release(const grant_release& release) {
    if (owned_upstream* owned = find(release.upstream)) {
        execute(*owned, owned->queue.release(release, timers_.now()));
    }
}

void owner_service::renew(const grant_renewal& renewal) {
    if (owned_upstream* owned = find(renewal.upstream)) {
        execute(*owned, owned->queue.renew(renewal, timers_.now()));
        tick_soon();
    }
}

void owner_service::refresh() {
    std::map<upstream_id, upstream> owned_now;
    for (const upstream& target : upstreams_.all()) {
        const auto owner = owners_.owner_of(target);
        if (target.kind == upstream_kind::engine && owner && owner->host == hosts_.host().host) {
            owned_now.emplace(target.id, target);
        }
    }
    for (auto entry = queues_.begin(); entry != queues_.end();) {
        if (owned_now.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        log_.write(decision_log::level::info, "ownership_lost",
                   {{"upstream", entry->first.value()}});
        entry = queues_.erase(entry);
    }
    for (const auto& [id, target] : owned_now) {
        if (owned_upstream* owned = find(id)) {
            owned->target = target;
        } else {
            add(target);
        }
    }
}

void owner_service::add(const upstream& target) {
    upstream_settings settings = defaults_;
    settings.upstream = target.id;
    settings.owner = hosts_.host().host;
    settings.incarnation = (hosts_.host().incarnation << 16U) + ++takeovers_;
    if (target.memory_tokens > 0) {
        settings.memory_tokens = target.memory_tokens;
        settings.short_memory_tokens = short_prompt_memory(target.memory_tokens);
    }
    queues_[target.id] = std::make_unique<owned_upstream>(target, settings, timers_.now());
    log_.write(decision_log::level::info, "ownership_gained",
               {{"upstream", target.id.value()},
                {"memory_tokens", std::to_string(settings.memory_tokens)}});
    poll_engines();
}

void owner_service::recover_from_pause(duration gap) {
    // Other hosts may have owned these upstreams in the meantime and renewed their grants. The
    // state of this host is stale, so it rebuilds the queues like a new owner.
    log_.write(decision_log::level::warning, "ownership_restarted",
               {{"paused_ms", std::to_string(to_milliseconds(gap))},
                {"upstreams", std::to_string(queues_.size())}});
    queues_.clear();
    refresh();
}

void owner_service::tick_soon() {
    if (busy_) {
        return;
    }
    busy_ = true;
    timers_.cancel(tick_timer_);
    tick_timer_ = timers_.after(tick_period, [this] { tick(); });
}

void owner_service::tick() {
    const instant now = timers_.now();
    const duration gap = now - last_tick_;
    last_tick_ = now;
    if (gap > pause_limit) {
        recover_from_pause(gap);
    }
    busy_ = false;
    for (const auto& entry : queues_) {
        owned_upstream& owned = *entry.second;
        const bool due = owned.queue.next_wakeup(now) <= now + tick_period;
        if (due || now - owned.ticked_at >= idle_tick_period) {
            owned.ticked_at = now;
            execute(owned, owned.queue.tick(now));
        }
        busy_ = busy_ || owned.queue.queued() > 0 || owned.queue.granted() > 0;
    }
    // Idle queues need no frequent ticks, which would cause most of an idle node's wake-ups.
    tick_timer_ = timers_.after(busy_ ? tick_period : idle_tick_period, [this] { tick(); });
}

void owner_service::poll_engines() {
    for (const auto& entry : queues_) {
        owned_upstream& owned = *entry.second;
        const bool idle = owned.queue.granted() == 0 && !owned.queue.rebuilding() &&
                          timers_.now() - owned.polled_at < idle_poll_period;
        if (owned.polling || idle) {
            continue;
        }
        owned.polling = true;
        owned.polled_at = timers_.now();
        const upstream_id id = entry.first;
        const instant asked_at = timers_.now();
        engines_.list_streams(owned.target, [this, id, asked_at](const std::string& failure,
                                                                 const engine_report& report) {
            owned_upstream* current = find(id);
            if (current == nullptr) {
                return;
            }
            current->polling = false;
            if (!failure.empty()) {
                return;
            }
            engine_report timed_report = report;
            timed_report.asked_at = asked_at;
            mark_unreachable_issuers(timed_report);
            execute(*current, current->queue.observe_engine(timed_report, timers_.now()));
        });
    }
}

void owner_service::mark_unreachable_issuers(engine_report& report) const {
    const host_id& self = hosts_.host().host;
    const std::vector<member_update> live = hosts_.live_hosts();
    for (engine_stream& stream : report.streams) {
        if (granted_by(stream.grant, self)) {
            continue;
        }
        stream.issuer_unreachable = std::none_of(
            live.begin(), live.end(),
            [&](const member_update& member) { return granted_by(stream.grant, member.host); });
    }
}

void owner_service::execute(const owned_upstream& owned, const scheduling_actions& actions) {
    for (const addressed_reply& item : actions.replies) {
        log_.write(decision_log::level::debug, "reserve_reply",
                   {{"request", item.reply.request.value()},
                    {"upstream", owned.target.id.value()},
                    {"outcome", std::to_string(static_cast<int>(item.reply.outcome))},
                    {"reason", item.reply.reason},
                    {"wait_ms", std::to_string(to_milliseconds(item.reply.start_estimate))}});
        if (item.to == hosts_.host().host) {
            // Deferred, so that a reply is never delivered from within the call that requested it.
            timers_.after(duration::zero(), [this, reply = item.reply] { deliver_(reply); });
            continue;
        }
        if (const auto entry_host = hosts_.find(item.to)) {
            transport_.send(*entry_host, item.reply);
        }
    }
    for (const grant_id& stream : actions.cancels) {
        log_.write(decision_log::level::warning, "orphan_cancelled",
                   {{"upstream", owned.target.id.value()}, {"stream", stream.value()}});
        engines_.cancel_stream(owned.target, stream);
    }
}

}  // namespace fuchsiaquay
