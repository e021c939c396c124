#pragma once

#include <cstdint>
#include <string>

#include "core/placement/work_phase.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A request, or a part of one, on an engine, as announced between the hosts.
struct engine_work {
    /// Identifies the request on its host.
    std::uint64_t key = 0;
    /// Upstream id of the engine; empty while the request waits for an engine.
    std::string engine;
    work_phase phase = work_phase::prefill;
    /// Prompt tokens that this engine processes.
    std::int64_t prefill_tokens = 0;
    /// Estimated prefill time without other prompts on the engine.
    duration prefill_time{};
    /// Memory held until the request ends, in tokens.
    std::int64_t memory_tokens = 0;
    /// Maximum time between two events; zero for a part that generates no output.
    duration target_gap{};
    /// Dispatch time. While the request waits, the time at which its first event becomes late.
    instant dispatched_at{};
    /// `engine_account_key` of the client account; 0 if accounts do not share engines or the host
    /// that announced the work is of an older version.
    std::uint64_t account = 0;
    /// 0 is the most urgent; 0 as well where `account` is 0.
    int rank = 0;
    /// Estimated engine time: the prefill and, for a part that generates, its share of the passes.
    duration engine_time{};

    /// False for the part of a prompt that an engine processes for a request that another engine
    /// answers.
    bool generates() const { return target_gap > duration::zero(); }
};

}  // namespace fuchsiaquay
