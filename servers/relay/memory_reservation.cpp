#include "servers/relay/memory_reservation.hpp"

#include <algorithm>
#include <utility>

#include "servers/relay/engine_memory_client.hpp"

namespace fuchsiaquay {

namespace {

/// Lifetime of a reservation that is not renewed. Memory that was reserved by a terminated host
/// has to be free again within four seconds.
constexpr duration reservation_lifetime = std::chrono::milliseconds(3'500);
/// Age at which a reservation is renewed, and the interval at which ages are checked.
constexpr duration renewal_age = std::chrono::milliseconds(600);
constexpr duration renewal_period = std::chrono::milliseconds(300);
/// Time without a confirmed renewal after which an engine is considered dead. Shorter than
/// `reservation_lifetime`, so that memory on the other engines is free within four seconds of the
/// engine's failure. Engines that pause for two seconds keep their reservations.
constexpr duration max_renewal_age = std::chrono::milliseconds(3'100);
/// Time limit for all engines to confirm the first reservation request.
constexpr duration reserve_timeout = std::chrono::milliseconds(500);

}  // namespace

memory_reservation::memory_reservation(engine_memory_client& memory_client, timer_service& timers,
                                       std::vector<engine_reservation> reservations,
                                       ready_handler ready, expired_handler expired)
    : memory_client_(memory_client),
      timers_(timers),
      reservations_(std::move(reservations)),
      confirmed_at_(reservations_.size()),
      ready_(std::move(ready)),
      expired_(std::move(expired)) {}

void memory_reservation::start() {
    started_at_ = timers_.now();
    renewal_ = timers_.every(renewal_period, [this] { renew(); });
    for (std::size_t i = 0; i < reservations_.size(); ++i) {
        reserve(i);
    }
}

memory_reservation::~memory_reservation() {
    timers_.cancel(renewal_);
    for (const engine_reservation& reservation : reservations_) {
        memory_client_.release(reservation.engine, reservation.id);
    }
}

void memory_reservation::reserve(std::size_t index) {
    const engine_reservation& reservation = reservations_[index];
    memory_client_.reserve(
        reservation.engine, reservation.id, reservation.tokens, reservation_lifetime,
        [this, index, requested_at = timers_.now(), alive = std::weak_ptr<int>(alive_)](bool held) {
            if (!alive.expired()) {
                on_reserve_reply(index, held, requested_at);
            }
        });
}

void memory_reservation::on_reserve_reply(std::size_t index, bool held, instant requested_at) {
    // A reply may be read late if this process was suspended.
    const bool in_time = !ready_ || timers_.now() - started_at_ <= reserve_timeout;
    if (!held || !in_time) {
        // Before the request is sent, the memory is not available. Afterwards only a renewal was
        // lost, and the next one replaces it.
        failed_index_ = index;
        report(false);
        return;
    }
    confirmed_at_[index] = requested_at;
    const bool all_confirmed =
        std::all_of(confirmed_at_.begin(), confirmed_at_.end(),
                    [](const auto& confirmed_at) { return confirmed_at.has_value(); });
    if (all_confirmed) {
        report(true);
    }
}

const network_address& memory_reservation::failed_engine() const {
    if (failed_index_) {
        return reservations_[*failed_index_].engine;
    }
    const auto unconfirmed = std::find(confirmed_at_.begin(), confirmed_at_.end(), std::nullopt);
    const std::size_t index = unconfirmed == confirmed_at_.end()
                                  ? 0
                                  : static_cast<std::size_t>(unconfirmed - confirmed_at_.begin());
    return reservations_[index].engine;
}

void memory_reservation::renew() {
    const instant now = timers_.now();
    if (ready_) {
        if (now - started_at_ > reserve_timeout) {
            report(false);
        }
        return;
    }
    for (std::size_t i = 0; i < reservations_.size(); ++i) {
        if (now - *confirmed_at_[i] > max_renewal_age) {
            report_expired(i);
            return;
        }
        if (now - *confirmed_at_[i] > renewal_age) {
            reserve(i);
        }
    }
}

void memory_reservation::report_expired(std::size_t index) {
    if (expired_) {
        failed_index_ = index;
        // The handler may destroy this object.
        const expired_handler expired = std::exchange(expired_, nullptr);
        expired();
    }
}

void memory_reservation::report(bool held) {
    if (ready_) {
        // The handler may destroy this object.
        const ready_handler ready = std::exchange(ready_, nullptr);
        ready(held);
    }
}

}  // namespace fuchsiaquay
