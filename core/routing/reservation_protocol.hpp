#pragma once

#include "core/messages/reserve_reply.hpp"
#include "core/routing/routing_actions.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// The entry side of a reservation, on one engine or on a group.
class reservation_protocol {
public:
    reservation_protocol() = default;
    reservation_protocol(const reservation_protocol&) = default;
    reservation_protocol& operator=(const reservation_protocol&) = default;
    virtual ~reservation_protocol() = default;

    virtual routing_actions start(instant now) = 0;
    virtual routing_actions on_reply(const reserve_reply& reply, instant now) = 0;
    /// Handles owners that did not answer and waits that are over.
    virtual routing_actions tick(instant now) = 0;
    /// The caller went away or its time is over.
    virtual routing_actions cancel(instant now) = 0;
    /// When `tick` is due; `instant::max()` when it is not needed.
    virtual instant next_wakeup() const = 0;
    virtual bool finished() const noexcept = 0;
    /// True when another attempt is worth while after this one was refused.
    virtual bool may_retry() const noexcept { return false; }
};

}  // namespace fuchsiaquay
