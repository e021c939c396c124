#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A request whose connection to an engine ended before the engine had proved that it survives the
/// start of the answer. Whether the engine ended too is known later.
struct engine_end {
    /// The process to which the request was sent.
    upstream_lifetime engine;
    /// Hash of the last part of the prompt, which belongs to the request or its session.
    std::uint64_t subject = 0;
    /// Ids of the other parts of the prompt.
    std::vector<std::string> parts;
    instant ended_at{};
    /// The answer looked complete, but the end of its connection was the only sign of it.
    bool looked_complete = false;
    /// Time from the sending of the request to the end of its connection; zero if unknown.
    duration lasted{};

    /// Whether the request was sent to its engine after `other` had ended, as when it is repeated.
    bool sent_after(const engine_end& other) const {
        return lasted > duration::zero() && other.ended_at <= ended_at - lasted;
    }

    friend bool operator==(const engine_end& a, const engine_end& b) {
        return std::tie(a.engine, a.subject, a.parts, a.ended_at, a.looked_complete, a.lasted) ==
               std::tie(b.engine, b.subject, b.parts, b.ended_at, b.looked_complete, b.lasted);
    }
};

}  // namespace fuchsiaquay
