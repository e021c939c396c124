#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "core/time/clock.hpp"
#include "servers/relay/engine_reservation.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class engine_memory_client;

/// Memory of several engines for one request: all of it or none. Nothing waits for memory, so that
/// two requests cannot wait for each other. Reservations are short and renewed while this object
/// lives; its end releases them, and the end of the whole process leaves them to their lifetime.
class memory_reservation {
public:
    /// Receives whether all memory is held. Called once.
    using ready_handler = std::function<void(bool held)>;
    /// Told that an engine has not renewed its part for so long that it must be taken for dead:
    /// the request there is over, and the other engines' memory is held in vain. Called once.
    using expired_handler = std::function<void()>;

    memory_reservation(engine_memory_client& memory_client, timer_service& timers,
                       std::vector<engine_reservation> reservations, ready_handler ready,
                       expired_handler expired);
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    ~memory_reservation();

    /// Sends the first orders.
    void start();
    const std::vector<engine_reservation>& reservations() const noexcept { return reservations_; }
    /// The engine that did not agree or did not renew; valid once a handler was told so.
    const network_address& failed_engine() const;

private:
    void reserve(std::size_t index);
    /// @param requested_at  when the engine was asked; its hold counts from then at the earliest
    void on_reserve_reply(std::size_t index, bool held, instant requested_at);
    void renew();
    void report(bool held);
    void report_expired(std::size_t index);

    engine_memory_client& memory_client_;
    timer_service& timers_;
    std::vector<engine_reservation> reservations_;
    /// When each claim was last known to be held.
    std::vector<std::optional<instant>> confirmed_at_;
    /// Index of the claim that was denied.
    std::optional<std::size_t> failed_index_;
    ready_handler ready_;
    expired_handler expired_;
    instant started_at_{};
    timer_service::subscription renewal_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay
