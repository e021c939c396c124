#pragma once

#include "core/messages/reserve_reply.hpp"
#include "core/routing/routing_actions.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Entry host side of a reservation on one engine or on a group. The functions return the messages
/// to send.
class reservation_protocol {
public:
    reservation_protocol() = default;
    reservation_protocol(const reservation_protocol&) = default;
    reservation_protocol& operator=(const reservation_protocol&) = default;
    virtual ~reservation_protocol() = default;

    virtual routing_actions start(instant now) = 0;
    virtual routing_actions on_reply(const reserve_reply& reply, instant now) = 0;
    /// Handles owners that did not reply in time and waits that have ended.
    virtual routing_actions tick(instant now) = 0;
    /// Ends the reservation because the caller disconnected or its deadline passed.
    virtual routing_actions cancel(instant now) = 0;
    /// Time at which `tick` is due; `instant::max()` if it is not needed.
    virtual instant next_wakeup() const = 0;
    virtual bool finished() const noexcept = 0;
    /// True if another attempt may follow when this one is refused.
    virtual bool may_retry() const noexcept { return false; }
};

}  // namespace fuchsiaquay
