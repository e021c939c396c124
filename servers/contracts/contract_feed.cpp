#include "servers/contracts/contract_feed.hpp"

#include <algorithm>
#include <vector>

#include "servers/contracts/contract_applier.hpp"
#include "servers/contracts/contract_keys.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {
namespace {

/// Looks that may show an unreported change before the watch counts as silent.
constexpr int max_missed_looks = 2;

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
      retry_(settings.shortest_retry) {}

contract_feed::~contract_feed() {
    stop();
}

void contract_feed::stop() {
    alive_ = std::make_shared<bool>(true);
    wanted_ = false;
    reading_ = false;
    looking_ = false;
    if (watch_ != 0) {
        store_.cancel_watch(watch_);
        watch_ = 0;
    }
}

void contract_feed::tick(bool wanted) {
    wanted_ = wanted;
    if (!wanted && watch_ != 0) {
        store_.cancel_watch(watch_);
        watch_ = 0;
    }
    if (wanted && watch_ == 0) {
        read();
    }
    if (watch_ != 0) {
        look_at_index();
    }
}

bool contract_feed::recently_verified() const {
    return watch_ != 0 && proved_ && timers_.now() - proved_at_ <= settings_.verification_max_age;
}

void contract_feed::invalidate_reads() {
    has_read_ = false;
    proved_ = false;
    // Its events would claim completeness on top of a book that is now empty.
    if (watch_ != 0) {
        store_.cancel_watch(watch_);
        watch_ = 0;
    }
}

void contract_feed::read() {
    if (reading_ || timers_.now() < next_read_) {
        return;
    }
    reading_ = true;
    const instant asked_at = timers_.now();
    std::weak_ptr<bool> alive = alive_;
    store_.read_prefix(contracts_watch_prefix, [this, alive, asked_at](const read_result& reading) {
        if (!alive.expired()) {
            reading_ = false;
            take_reading(reading, asked_at);
        }
    });
}

void contract_feed::take_reading(const read_result& reading, instant asked_at) {
    if (!reading.ok()) {
        back_off(reading.failure);
        return;
    }
    // Per contract only higher revisions apply, so even an old answer does no harm.
    take_values(reading);
    if (reading.store_revision < registry_.known_revision()) {
        back_off("old answer: revision " + std::to_string(reading.store_revision) + " below " +
                 std::to_string(registry_.known_revision()));
        return;
    }
    reset_retry();
    has_read_ = true;
    prove(asked_at);
    if (wanted_) {
        start_watch();
    }
}

void contract_feed::take_values(const read_result& reading) {
    std::vector<customer_id> present;
    std::int64_t index_revision = 0;
    std::vector<contract_change> taken;
    for (const stored_value& value : reading.values) {
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
         registry_.reconcile(present, index_revision, reading.store_revision)) {
        taken.push_back({customer, reading.store_revision, true, ""});
        applier_.report(taken.back(), "store");
    }
    if (first || !news_) {
        return;
    }
    for (const contract_change& change : taken) {
        // No claim about the change before: the reading shows only the latest one of each.
        news_(change, change.revision);
    }
}

void contract_feed::start_watch() {
    if (watch_ != 0) {
        return;
    }
    missed_looks_ = 0;
    std::weak_ptr<bool> alive = alive_;
    watch_ = store_.watch(
        contracts_watch_prefix, registry_.complete_revision() + 1,
        [this, alive](const watch_event& event) {
            if (!alive.expired()) {
                take_event(event);
            }
        },
        [this, alive](const std::string& reason) {
            if (!alive.expired()) {
                watch_ = 0;
                back_off("watch ended: " + reason);
            }
        });
}

void contract_feed::take_event(const watch_event& event) {
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
    // Events come in revision order and a transaction changes one contract.
    registry_.advance(registry_.complete_revision(), revision);
    if (taken && news_) {
        news_(change, previous);
    }
}

void contract_feed::look_at_index() {
    if (looking_) {
        return;
    }
    looking_ = true;
    const instant asked_at = timers_.now();
    std::weak_ptr<bool> alive = alive_;
    store_.read(contracts_index_key, [this, alive, asked_at](const read_result& reading) {
        if (!alive.expired()) {
            looking_ = false;
            take_index(reading, asked_at);
        }
    });
}

void contract_feed::take_index(const read_result& reading, instant asked_at) {
    if (!reading.ok() || watch_ == 0) {
        return;
    }
    if (reading.store_revision < registry_.known_revision()) {
        log_.write(decision_log::level::warning, "contracts_old_answer",
                   {{"revision", std::to_string(reading.store_revision)},
                    {"known", std::to_string(registry_.known_revision())}});
        return;
    }
    const std::int64_t latest = reading.values.empty() ? 0 : reading.values.front().revision;
    registry_.note_revision(latest);
    if (latest <= registry_.complete_revision()) {
        missed_looks_ = 0;
        registry_.advance(registry_.complete_revision(), reading.store_revision);
        prove(asked_at);
        return;
    }
    if (++missed_looks_ >= max_missed_looks) {
        store_.cancel_watch(watch_);
        watch_ = 0;
        back_off("watch is silent");
    }
}

void contract_feed::prove(instant at) {
    proved_ = true;
    proved_at_ = at;
    registry_.confirm(at);
}

void contract_feed::back_off(const std::string& reason) {
    log_.write(decision_log::level::warning, "contracts_feed_failed",
               {{"reason", reason}, {"retry_ms", std::to_string(to_milliseconds(retry_))}});
    next_read_ = timers_.now() + retry_;
    retry_ = std::min(retry_ * 2, settings_.longest_retry);
    std::weak_ptr<bool> alive = alive_;
    timers_.after(next_read_ - timers_.now(), [this, alive] {
        if (!alive.expired() && wanted_ && watch_ == 0) {
            read();
        }
    });
}

}  // namespace fuchsiaquay
