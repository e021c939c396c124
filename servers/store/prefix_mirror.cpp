#include "servers/store/prefix_mirror.hpp"

#include <algorithm>
#include <utility>

#include "core/freshness/store_revision.hpp"
#include "servers/decision_log.hpp"
#include "servers/store/mirror_listener.hpp"
#include "servers/store/polled_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// No lease expires during a shorter outage, because upstreams renew their leases every 1.2 s.
constexpr duration min_lease_expiry_outage = std::chrono::milliseconds(1'000);
/// A copy that is not older than this shows that the store was available: a host looks for a more
/// recent copy at an age of 2.6 s and gets the answer within 0.5 s.
constexpr duration max_age_without_outage = std::chrono::milliseconds(3'100);

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
    start_next_call();
}

void prefix_mirror::confirm(instant as_of) {
    freshness_.confirm(as_of);
    was_fresh_ = was_fresh_ || fresh();
}

void prefix_mirror::advance(std::int64_t revision) {
    revision_ = std::max(revision_, revision);
    read_needed_ = false;
}

void prefix_mirror::start_next_call() {
    if (!active_ || call_pending_) {
        return;
    }
    call_pending_ = true;
    if (read_needed_) {
        read_all();
    } else {
        poll();
    }
}

bool prefix_mirror::fresh() const {
    return freshness_.is_current(timers_.now());
}

copy_state prefix_mirror::state() const {
    if (behind_ && age() > settings_.apply_limit) {
        return copy_state::replaced;
    }
    if (!fresh()) {
        return copy_state::expired;
    }
    return age() <= settings_.apply_limit + settings_.watch_lag ? copy_state::current
                                                                : copy_state::late;
}

duration prefix_mirror::age() const {
    return freshness_.age(timers_.now());
}

void prefix_mirror::continue_after(duration delay) {
    timers_.after(delay, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            call_pending_ = false;
            start_next_call();
        }
    });
}

void prefix_mirror::read_all() {
    const instant sent_at = timers_.now();
    store_.read_prefix(
        prefix_, [this, sent_at, alive = std::weak_ptr<int>(alive_)](const read_result& result) {
            if (!alive.expired()) {
                on_snapshot_read(result, sent_at);
            }
        });
}

void prefix_mirror::on_snapshot_read(const read_result& result, instant sent_at) {
    if (!result.ok()) {
        record_failure(result.failure);
        continue_after(retry_delay_);
        return;
    }
    if (std::exchange(outage_logged_, false)) {
        log_.write(decision_log::level::info, "store_regained",
                   {{"prefix", prefix_}, {"revision", std::to_string(result.store_revision)}});
    }
    const bool restored = revision_ != 0 && !same_era(revision_, result.store_revision);
    if (restored) {
        log_.write(decision_log::level::warning, "store_restored",
                   {{"prefix", prefix_},
                    {"known_revision", std::to_string(revision_)},
                    {"revision", std::to_string(result.store_revision)}});
    }
    // The entries of leases that were granted after the copy are missing until they are written
    // again.
    const bool after_outage = restored || leases_may_have_expired();
    failed_since_read_ = false;
    revision_ = result.store_revision;
    confirm(sent_at);
    read_needed_ = false;
    listener_.on_snapshot(result.values, revision_, after_outage);
    call_pending_ = false;
    start_next_call();
}

bool prefix_mirror::leases_may_have_expired() const {
    if (revision_ == 0) {
        return false;
    }
    if (age() > max_age_without_outage) {
        return true;
    }
    // A confirmation made after the first failed call came from a host that could reach the store.
    const instant now = timers_.now();
    const bool confirmed_since_failure = now - age() > first_failure_at_;
    return failed_since_read_ && !confirmed_since_failure &&
           now - first_failure_at_ > min_lease_expiry_outage;
}

void prefix_mirror::poll() {
    const instant sent_at = timers_.now();
    store_.poll(prefix_, revision_, settings_.poll_wait,
                [this, sent_at, alive = std::weak_ptr<int>(alive_)](const change_batch& batch) {
                    if (!alive.expired()) {
                        on_changes_polled(batch, sent_at);
                    }
                });
}

void prefix_mirror::on_changes_polled(const change_batch& batch, instant sent_at) {
    if (batch.compacted) {
        log_.write(decision_log::level::info, "store_history_lost",
                   {{"prefix", prefix_}, {"revision", std::to_string(revision_)}});
        read_needed_ = true;
        call_pending_ = false;
        start_next_call();
        return;
    }
    if (!batch.ok()) {
        record_failure(batch.failure);
        // Entries may expire during the outage. Only a full read shows which ones remain.
        read_needed_ = true;
        continue_after(retry_delay_);
        return;
    }
    revision_ = std::max(revision_, batch.store_revision);
    const duration waited = timers_.now() - sent_at;
    const bool timed_out_without_changes = batch.events.empty() && waited >= settings_.poll_wait;
    const instant current_at = timed_out_without_changes ? sent_at + settings_.poll_wait : sent_at;
    confirm(current_at - settings_.watch_lag);
    if (!batch.events.empty()) {
        listener_.on_changes(batch.events, revision_);
    }
    if (!batch.events.empty() && settings_.pause_after_changes > duration::zero()) {
        continue_after(settings_.pause_after_changes);
        return;
    }
    call_pending_ = false;
    start_next_call();
}

void prefix_mirror::record_failure(const std::string& reason) {
    if (!std::exchange(failed_since_read_, true)) {
        first_failure_at_ = timers_.now();
    }
    if (!std::exchange(outage_logged_, true)) {
        log_.write(decision_log::level::warning, "store_lost",
                   {{"prefix", prefix_},
                    {"reason", reason},
                    {"age_ms", std::to_string(to_milliseconds(age()))}});
    }
}

}  // namespace fuchsiaquay
