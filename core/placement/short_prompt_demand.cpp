#include "core/placement/short_prompt_demand.hpp"

#include <cmath>

namespace fuchsiaquay {

namespace {

constexpr duration slot_length = std::chrono::milliseconds(100);
/// A stream lasts longer than this, so that the recent prompts are still served.
constexpr std::size_t recent_slots = 5;
/// Prompts of this time before the recent ones show the rate to which the engines are used.
constexpr std::size_t earlier_slots = 20;
/// Standard deviations by which the rate of a burst exceeds the rate before. Arrivals of
/// independent callers vary by the square root of their number.
constexpr double significant_deviations = 2.0;

std::int64_t slot_at(instant now) {
    return now.time_since_epoch() / slot_length;
}

}  // namespace

void short_prompt_demand::on_prompt(instant now) {
    const slot_number number = slot_at(now);
    slot& current = slots_[static_cast<std::size_t>(number) % slots_kept];
    if (current.number != number) {
        current = {number, 0};
    }
    ++current.prompts;
}

double short_prompt_demand::prompts_until(slot_number last, std::size_t count) const {
    double total = 0.0;
    for (const slot& each : slots_) {
        if (each.number <= last && each.number > last - static_cast<slot_number>(count)) {
            total += each.prompts;
        }
    }
    return total;
}

double short_prompt_demand::burst_rate(instant now) const {
    const slot_number last = slot_at(now);
    const double recent = prompts_until(last, recent_slots);
    const double earlier =
        prompts_until(last - static_cast<slot_number>(recent_slots), earlier_slots);
    const double expected = earlier * recent_slots / earlier_slots;
    if (recent - significant_deviations * std::sqrt(recent) <= expected) {
        return 0.0;
    }
    return recent / (to_seconds(slot_length) * recent_slots);
}

}  // namespace fuchsiaquay
