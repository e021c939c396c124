#include "servers/store/prefix_mirror.hpp"

#include <algorithm>
#include <utility>

#include "servers/decision_log.hpp"
#include "servers/store/mirror_listener.hpp"
#include "servers/store/polled_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// An outage of less than this lets no lease run out. Source: upstreams renew theirs each 1.2 s.
constexpr duration shortest_lapse = std::chrono::milliseconds(1'000);
/// Age up to which a copy tells that the store was there. Source: a host looks for a better copy
/// from 2.6 s on, and has its answer 0.5 s later.
constexpr duration known_lately = std::chrono::milliseconds(3'100);

}  // namespace

prefix_mirror::prefix_mirror(polled_store& store, timer_service& timers, decision_log& log,
                             mirror_listener& listener, std::string prefix,
                             prefix_mirror_settings settings)
    : store_(store),
      timers_(timers),
      log_(log),
      listener_(listener),
      prefix_(std::move(prefix)),
      settings_(settings),
      freshness_(settings.freshness_limit) {}

void prefix_mirror::follow(bool active, duration retry_delay) {
    active_ = active;
    retry_delay_ = retry_delay;
    next();
}

void prefix_mirror::confirm(instant as_of) {
    freshness_.confirm(as_of);
    was_fresh_ = was_fresh_ || fresh();
}

void prefix_mirror::advance(std::int64_t revision) {
    revision_ = std::max(revision_, revision);
    read_needed_ = false;
}

void prefix_mirror::next() {
    if (!active_ || calling_) {
        return;
    }
    calling_ = true;
    if (read_needed_) {
        read_all();
    } else {
        poll();
    }
}

bool prefix_mirror::fresh() const {
    return freshness_.is_current(timers_.now());
}

duration prefix_mirror::age() const {
    return freshness_.age(timers_.now());
}

void prefix_mirror::later(duration delay) {
    timers_.after(delay, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            calling_ = false;
            next();
        }
    });
}

void prefix_mirror::read_all() {
    const instant sent_at = timers_.now();
    store_.read_prefix(
        prefix_, [this, sent_at, alive = std::weak_ptr<int>(alive_)](const read_result& result) {
            if (!alive.expired()) {
                take_snapshot(result, sent_at);
            }
        });
}

void prefix_mirror::take_snapshot(const read_result& result, instant sent_at) {
    if (!result.ok()) {
        failed(result.failure);
        later(retry_delay_);
        return;
    }
    if (std::exchange(outage_, false)) {
        log_.write(decision_log::level::info, "store_regained",
                   {{"prefix", prefix_}, {"revision", std::to_string(result.store_revision)}});
    }
    const bool lapsed = leases_may_have_lapsed();
    interrupted_ = false;
    revision_ = result.store_revision;
    confirm(sent_at);
    read_needed_ = false;
    listener_.on_snapshot(result.values, revision_, lapsed);
    calling_ = false;
    next();
}

bool prefix_mirror::leases_may_have_lapsed() const {
    if (revision_ == 0) {
        return false;
    }
    if (age() > known_lately) {
        return true;
    }
    // A confirmation from after the loss came from a host that the store still answered.
    const instant now = timers_.now();
    const bool seen_since = now - age() > lost_at_;
    return interrupted_ && !seen_since && now - lost_at_ > shortest_lapse;
}

void prefix_mirror::poll() {
    const instant sent_at = timers_.now();
    store_.poll(prefix_, revision_, settings_.poll_wait,
                [this, sent_at, alive = std::weak_ptr<int>(alive_)](const change_batch& batch) {
                    if (!alive.expired()) {
                        take_changes(batch, sent_at);
                    }
                });
}

void prefix_mirror::take_changes(const change_batch& batch, instant sent_at) {
    if (batch.compacted) {
        log_.write(decision_log::level::info, "store_history_lost",
                   {{"prefix", prefix_}, {"revision", std::to_string(revision_)}});
        read_needed_ = true;
        calling_ = false;
        next();
        return;
    }
    if (!batch.ok()) {
        failed(batch.failure);
        // Entries may lapse while the store is away: only a full read tells which are left.
        read_needed_ = true;
        later(retry_delay_);
        return;
    }
    revision_ = std::max(revision_, batch.store_revision);
    const duration waited = timers_.now() - sent_at;
    const bool waited_in_vain = batch.events.empty() && waited >= settings_.poll_wait;
    const instant seen = waited_in_vain ? sent_at + settings_.poll_wait : sent_at;
    confirm(seen - settings_.watch_lag);
    if (!batch.events.empty()) {
        listener_.on_changes(batch.events, revision_);
    }
    if (!batch.events.empty() && settings_.pause_after_changes > duration::zero()) {
        later(settings_.pause_after_changes);
        return;
    }
    calling_ = false;
    next();
}

void prefix_mirror::failed(const std::string& reason) {
    if (!std::exchange(interrupted_, true)) {
        lost_at_ = timers_.now();
    }
    if (!std::exchange(outage_, true)) {
        log_.write(decision_log::level::warning, "store_lost",
                   {{"prefix", prefix_},
                    {"reason", reason},
                    {"age_ms", std::to_string(to_milliseconds(age()))}});
    }
}

}  // namespace fuchsiaquay
