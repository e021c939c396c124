#pragma once

#include <cstdint>
#include <string>

#include "core/placement/work_phase.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A request, or a part of one, at an engine, as far as the hosts have told each other.
struct engine_work {
    /// Identifies the request among those of its host.
    std::uint64_t key = 0;
    /// Upstream id of the engine; empty while the request waits for one.
    std::string engine;
    work_phase phase = work_phase::prefill;
    /// Prompt tokens that this engine reads.
    std::int64_t prefill_tokens = 0;
    /// Estimated time that reading takes where nothing else is read.
    duration prefill_time{};
    /// Tokens of memory held until the end.
    std::int64_t memory_tokens = 0;
    /// Longest pause between events that is on time; zero for a part that writes nothing.
    duration target_gap{};
    /// When it was sent; while it waits, when its first event becomes late.
    instant dispatched_at{};

    /// False for a part that an engine reads for a request that is answered by another one.
    bool generates() const { return target_gap > duration::zero(); }
};

}  // namespace fuchsiaquay
