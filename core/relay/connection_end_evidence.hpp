#pragma once

#include <deque>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Judges ends of connections to upstreams that may be the end of an answer. Remembers for a moment
/// which connections ended in order, but at a point that cannot be the end of an answer: whatever
/// ends one connection so, such as a proxy on the way, often ends others at the same moment.
class connection_end_evidence {
public:
    /// Called once in each `tick_period`.
    void on_tick(instant now);
    /// Records that a connection to `upstream` ended before its answer was complete.
    void on_lost(const upstream_lifetime& upstream, instant now);
    /// Returns why a connection to `upstream` that was read to its end at `ended_at` may have been
    /// lost; null if nothing suggests that.
    const char* objection(const upstream_lifetime& upstream, instant ended_at) const;
    /// Whether this process did not run for a while before it read the end of a stream at
    /// `ended_at`.
    bool suspended_before(instant ended_at) const;

    static constexpr duration tick_period = std::chrono::seconds(1);

private:
    struct loss {
        upstream_lifetime upstream;
        instant at{};
    };

    bool suggest_loss(const upstream_lifetime& upstream, instant ended_at) const;

    std::deque<loss> losses_;
    instant last_tick_ = instant::max();
    /// The last ticks before and after this process was suspended.
    instant suspended_at_ = instant::max();
    instant resumed_at_ = instant::max();
};

}  // namespace fuchsiaquay
