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

/// Reserves memory on several engines for one request, all or nothing. If an engine lacks memory,
/// the reservation fails instead of waiting, so that two requests cannot deadlock. Reservations
/// are short-lived and renewed while this object exists. The destructor releases them; if the
/// process dies, they expire.
class memory_reservation {
public:
    /// Receives whether all engines confirmed their reservations. Called once.
    using ready_handler = std::function<void(bool held)>;
    /// Called once if an engine has not confirmed a renewal for so long that it is considered dead.
    /// The request on it is lost, and the memory held on the other engines has no use.
    using expired_handler = std::function<void()>;

    memory_reservation(engine_memory_client& memory_client, timer_service& timers,
                       std::vector<engine_reservation> reservations, ready_handler ready,
                       expired_handler expired);
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    ~memory_reservation();

    /// Sends the first reservation requests.
    void start();
    const std::vector<engine_reservation>& reservations() const noexcept { return reservations_; }
    /// Returns the engine that did not confirm or renew its reservation. Valid after a handler
    /// reported a failure.
    const network_address& failed_engine() const;

private:
    void reserve(std::size_t index);
    /// @param requested_at  when the request was sent; the reservation starts no earlier
    void on_reserve_reply(std::size_t index, bool held, instant requested_at);
    void renew();
    void report(bool held);
    void report_expired(std::size_t index);

    engine_memory_client& memory_client_;
    timer_service& timers_;
    std::vector<engine_reservation> reservations_;
    /// For each reservation, when the last confirmed request was sent.
    std::vector<std::optional<instant>> confirmed_at_;
    /// Index of the reservation that was denied or expired.
    std::optional<std::size_t> failed_index_;
    ready_handler ready_;
    expired_handler expired_;
    instant started_at_{};
    timer_service::subscription renewal_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay
