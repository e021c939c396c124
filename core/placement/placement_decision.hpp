#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/placement/placement_part.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Outcome of a placement.
struct placement_decision {
    enum class verdict {
        /// Send it to `engine` now.
        place,
        /// Nothing fits now; it may later.
        wait,
        /// It cannot be served in its time.
        refuse,
    };

    verdict outcome = verdict::wait;
    /// Upstream id of the engine that answers.
    std::string engine;
    /// Tokens of the prompt that are reserved at `engine`; 0 when it admits the prompt as usual.
    std::int64_t reserved_tokens = 0;
    /// Further engines that read parts of the prompt.
    std::vector<placement_part> helpers;
    /// Estimated time until the first event; 0 where nothing is known.
    duration time_to_first_event{};
    /// For a prompt that waits: engines are expected to answer it in its time.
    bool answer_expected = false;
    /// Long prompts of all hosts that go first.
    std::size_t prompts_ahead = 0;
    /// For a prompt that waits: longest time from now on, where others may always go before it.
    duration max_wait = duration::max();
    /// For a prompt that waits or is refused: time after which engines are expected to come free.
    duration retry_after{};
    /// What decided it, for the log.
    const char* reason = "";
};

}  // namespace fuchsiaquay
