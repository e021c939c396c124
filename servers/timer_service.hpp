#pragma once

#include <cstdint>
#include <functional>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Clock and timers of the control thread. Callbacks run on the control thread, one at a time.
class timer_service {
public:
    using subscription = std::uint64_t;
    using callback = std::function<void()>;

    timer_service() = default;
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;
    virtual ~timer_service() = default;

    /// Current monotonic time.
    virtual instant now() const = 0;
    /// Calls `action` every `period` until cancelled.
    virtual subscription every(duration period, callback action) = 0;
    /// Calls `action` once after `delay`.
    virtual subscription after(duration delay, callback action) = 0;
    /// Cancels a subscription. An unknown or finished subscription is ignored.
    virtual void cancel(subscription id) = 0;
};

}  // namespace fuchsiaquay
