#pragma once

#include <deque>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Remembers for a moment which connections to upstreams ended in order, but at a point that cannot
/// be the end of an answer. Whatever ends one connection so, such as a proxy on the way, often ends
/// others at the same moment.
class connection_end_evidence {
public:
    /// Records that a connection to `upstream` ended before its answer was complete.
    void on_lost(const upstream_lifetime& upstream, instant now);
    /// Whether a connection to `upstream` that ended at `ended_at` was probably lost: another one
    /// of the same upstream was lost at about that time, or connections of several other upstreams.
    bool suggest_loss(const upstream_lifetime& upstream, instant ended_at) const;

private:
    struct loss {
        upstream_lifetime upstream;
        instant at{};
    };

    std::deque<loss> losses_;
};

}  // namespace fuchsiaquay
