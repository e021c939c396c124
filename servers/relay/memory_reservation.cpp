#include "servers/relay/memory_reservation.hpp"

#include <algorithm>
#include <utility>

#include "servers/relay/engine_orders.hpp"

namespace fuchsiaquay {

namespace {

/// Lifetime of a reservation that is not renewed. Source: memory of a host that ended has to be
/// free again within four seconds.
constexpr duration hold_time = std::chrono::milliseconds(3'500);
/// Age from which a reservation is renewed, and the period of looking for such.
constexpr duration renewal_age = std::chrono::milliseconds(1'200);
constexpr duration renewal_period = std::chrono::milliseconds(300);
/// Time without a renewal after which an engine is taken for dead. Below `hold_time`, so that the
/// memory of the others is free within four seconds of its death.
constexpr duration lapse_limit = std::chrono::milliseconds(2'800);
/// Longest wait for all engines to agree.
constexpr duration agreement_limit = std::chrono::milliseconds(500);

}  // namespace

memory_reservation::memory_reservation(engine_orders& orders, timer_service& timers,
                                       std::vector<memory_claim> claims, ready_handler ready,
                                       lapsed_handler lapsed)
    : orders_(orders),
      timers_(timers),
      claims_(std::move(claims)),
      held_at_(claims_.size()),
      ready_(std::move(ready)),
      lapsed_(std::move(lapsed)) {}

void memory_reservation::start() {
    started_at_ = timers_.now();
    renewal_ = timers_.every(renewal_period, [this] { renew(); });
    for (std::size_t i = 0; i < claims_.size(); ++i) {
        reserve(i);
    }
}

memory_reservation::~memory_reservation() {
    timers_.cancel(renewal_);
    for (const memory_claim& claim : claims_) {
        orders_.release(claim.engine, claim.id);
    }
}

void memory_reservation::reserve(std::size_t index) {
    const memory_claim& claim = claims_[index];
    orders_.reserve(
        claim.engine, claim.id, claim.tokens, hold_time,
        [this, index, asked_at = timers_.now(), alive = std::weak_ptr<int>(alive_)](bool held) {
            if (!alive.expired()) {
                answered(index, held, asked_at);
            }
        });
}

void memory_reservation::answered(std::size_t index, bool held, instant asked_at) {
    // An answer may lie unread while this process stands still.
    const bool in_time = !ready_ || timers_.now() - started_at_ <= agreement_limit;
    if (!held || !in_time) {
        // Before the request is sent this means no memory; later, that a renewal went astray,
        // which the next one makes good.
        denied_ = index;
        report(false);
        return;
    }
    held_at_[index] = asked_at;
    const bool all = std::all_of(held_at_.begin(), held_at_.end(),
                                 [](const auto& at) { return at.has_value(); });
    if (all) {
        report(true);
    }
}

const network_address& memory_reservation::refused_by() const {
    if (denied_) {
        return claims_[*denied_].engine;
    }
    const auto silent = std::find(held_at_.begin(), held_at_.end(), std::nullopt);
    const std::size_t index =
        silent == held_at_.end() ? 0 : static_cast<std::size_t>(silent - held_at_.begin());
    return claims_[index].engine;
}

void memory_reservation::renew() {
    const instant now = timers_.now();
    if (ready_) {
        if (now - started_at_ > agreement_limit) {
            report(false);
        }
        return;
    }
    for (std::size_t i = 0; i < claims_.size(); ++i) {
        if (now - *held_at_[i] > lapse_limit) {
            report_lapsed(i);
            return;
        }
        if (now - *held_at_[i] > renewal_age) {
            reserve(i);
        }
    }
}

void memory_reservation::report_lapsed(std::size_t index) {
    if (lapsed_) {
        denied_ = index;
        // The handler may end this object.
        const lapsed_handler lapsed = std::exchange(lapsed_, nullptr);
        lapsed();
    }
}

void memory_reservation::report(bool held) {
    if (ready_) {
        // The handler may end this object.
        const ready_handler ready = std::exchange(ready_, nullptr);
        ready(held);
    }
}

}  // namespace fuchsiaquay
