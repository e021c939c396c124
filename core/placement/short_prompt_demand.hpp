#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Counts the prompts that all hosts dispatch and recognises a burst by its rate, before its
/// streams occupy engines.
class short_prompt_demand {
public:
    void on_prompt(instant now);

    /// Prompts per second of a burst; 0 if the recent rate does not exceed the one before by more
    /// than chance explains.
    double burst_rate(instant now) const;

private:
    using slot_number = std::int64_t;
    struct slot {
        slot_number number = -1;
        std::uint32_t prompts = 0;
    };

    /// Prompts in the `count` slots that end with the slot `last`.
    double prompts_until(slot_number last, std::size_t count) const;

    static constexpr std::size_t slots_kept = 32;

    /// Ring of the prompts counted in intervals of equal length.
    std::array<slot, slots_kept> slots_{};
};

}  // namespace fuchsiaquay
