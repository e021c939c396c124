#include "servers/contracts/contract_feed.hpp"

#include <algorithm>
#include <vector>

#include "servers/contracts/contract_applier.hpp"
#include "servers/contracts/contract_keys.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {
namespace {

/// Number of index checks that find an unreported change before the watch is considered broken.
constexpr int max_missed_checks = 2;

}  // namespace

contract_feed::contract_feed(contract_registry& registry, contract_applier& applier,
                             key_value_store& store, timer_service& timers, decision_log& log,
                             const contract_watcher_settings& settings)
    : registry_(registry),
      applier_(applier),
      store_(store),
      timers_(timers),
      log_(log),
      settings_(settings),
      retry_delay_(settings.shortest_retry) {}

contract_feed::~contract_feed() {
    stop();
}

void contract_feed::stop() {
    alive_ = std::make_shared<bool>(true);
    watch_enabled_ = false;
    read_pending_ = false;
    index_check_pending_ = false;
    if (watch_ != 0) {
        store_.cancel_watch(watch_);
        watch_ = 0;
    }
}

void contract_feed::tick(bool watch_enabled) {
    watch_enabled_ = watch_enabled;
    if (!watch_enabled && watch_ != 0) {
        store_.cancel_watch(watch_);
        watch_ = 0;
    }
    if (watch_enabled && watch_ == 0) {
        read();
    }
    if (watch_ != 0) {
        check_index();
    }
}

bool contract_feed::recently_verified() const {
    return watch_ != 0 && verified_ &&
           timers_.now() - verified_at_ <= settings_.verification_max_age;
}

void contract_feed::invalidate_reads() {
    has_read_ = false;
    verified_ = false;
    // Its events would advance the complete revision of a registry that is now empty.
    if (watch_ != 0) {
        store_.cancel_watch(watch_);
        watch_ = 0;
    }
}

void contract_feed::read() {
    if (read_pending_ || timers_.now() < next_read_) {
        return;
    }
    read_pending_ = true;
    const instant sent_at = timers_.now();
    std::weak_ptr<bool> alive = alive_;
    store_.read_prefix(contracts_watch_prefix, [this, alive, sent_at](const read_result& result) {
        if (!alive.expired()) {
            read_pending_ = false;
            on_read(result, sent_at);
        }
    });
}

void contract_feed::on_read(const read_result& result, instant sent_at) {
    if (!result.ok()) {
        back_off(result.failure);
        return;
    }
    // Only higher revisions of a contract are applied, so a stale answer does no harm.
    apply_values(result);
    if (result.store_revision < registry_.known_revision()) {
        back_off("stale answer: revision " + std::to_string(result.store_revision) + " is below " +
                 std::to_string(registry_.known_revision()));
        return;
    }
    reset_retry_delay();
    has_read_ = true;
    confirm(sent_at);
    if (watch_enabled_) {
        start_watch();
    }
}

void contract_feed::apply_values(const read_result& result) {
    std::vector<customer_id> present;
    std::int64_t index_revision = 0;
    std::vector<contract_change> taken;
    for (const stored_value& value : result.values) {
        const customer_id customer = customer_of_key(value.key);
        if (customer.empty()) {
            index_revision = std::max(index_revision, value.revision);
            continue;
        }
        present.push_back(customer);
        const contract_change change{customer, value.revision, false, value.value};
        if (applier_.apply(change, "store")) {
            taken.push_back(change);
        }
    }
    const bool first = !registry_.caught_up();
    for (const customer_id& customer :
         registry_.reconcile(present, index_revision, result.store_revision)) {
        taken.push_back({customer, result.store_revision, true, ""});
        applier_.report(taken.back(), "store");
    }
    if (first || !changed_) {
        return;
    }
    for (const contract_change& change : taken) {
        // The read shows only the latest change of each contract, so nothing is known about the
        // change before this one.
        changed_(change, change.revision);
    }
}

void contract_feed::start_watch() {
    if (watch_ != 0) {
        return;
    }
    missed_checks_ = 0;
    std::weak_ptr<bool> alive = alive_;
    watch_ = store_.watch(
        contracts_watch_prefix, registry_.complete_revision() + 1,
        [this, alive](const watch_event& event) {
            if (!alive.expired()) {
                on_watch_event(event);
            }
        },
        [this, alive](const std::string& reason) {
            if (!alive.expired()) {
                watch_ = 0;
                back_off("watch ended: " + reason);
            }
        });
}

void contract_feed::on_watch_event(const watch_event& event) {
    registry_.note_revision(event.value.revision);
    const customer_id customer = customer_of_key(event.value.key);
    if (customer.empty()) {
        return;
    }
    const std::int64_t revision = event.value.revision;
    const std::int64_t previous = std::min(registry_.last_change(), registry_.complete_revision());
    const contract_change change{customer, revision, event.erased,
                                 event.erased ? std::string() : event.value.value};
    const bool taken = applier_.apply(change, "watch");
    // Events arrive in revision order and each transaction changes only one contract.
    registry_.advance(registry_.complete_revision(), revision);
    if (taken && changed_) {
        changed_(change, previous);
    }
}

void contract_feed::check_index() {
    if (index_check_pending_) {
        return;
    }
    index_check_pending_ = true;
    const instant sent_at = timers_.now();
    std::weak_ptr<bool> alive = alive_;
    store_.read(contracts_index_key, [this, alive, sent_at](const read_result& result) {
        if (!alive.expired()) {
            index_check_pending_ = false;
            on_index(result, sent_at);
        }
    });
}

void contract_feed::on_index(const read_result& result, instant sent_at) {
    if (!result.ok() || watch_ == 0) {
        return;
    }
    if (result.store_revision < registry_.known_revision()) {
        log_.write(decision_log::level::warning, "contracts_old_answer",
                   {{"revision", std::to_string(result.store_revision)},
                    {"known", std::to_string(registry_.known_revision())}});
        return;
    }
    const std::int64_t latest = result.values.empty() ? 0 : result.values.front().revision;
    registry_.note_revision(latest);
    if (latest <= registry_.complete_revision()) {
        missed_checks_ = 0;
        registry_.advance(registry_.complete_revision(), result.store_revision);
        confirm(sent_at);
        return;
    }
    if (++missed_checks_ >= max_missed_checks) {
        store_.cancel_watch(watch_);
        watch_ = 0;
        back_off("watch does not report changes");
    }
}

void contract_feed::confirm(instant verified_at) {
    verified_ = true;
    verified_at_ = verified_at;
    registry_.confirm(verified_at);
}

void contract_feed::back_off(const std::string& reason) {
    log_.write(decision_log::level::warning, "contracts_feed_failed",
               {{"reason", reason}, {"retry_ms", std::to_string(to_milliseconds(retry_delay_))}});
    next_read_ = timers_.now() + retry_delay_;
    retry_delay_ = std::min(retry_delay_ * 2, settings_.longest_retry);
    std::weak_ptr<bool> alive = alive_;
    timers_.after(next_read_ - timers_.now(), [this, alive] {
        if (!alive.expired() && watch_enabled_ && watch_ == 0) {
            read();
        }
    });
}

}  // namespace fuchsiaquay
