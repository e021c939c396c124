#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/placement_candidate.hpp"
#include "core/placement/placement_decision.hpp"

namespace fuchsiaquay {

struct placement_request;

/// Distributes a prompt that is too large for one engine over several engines. The engines either
/// only run the prefill of their parts or also keep the parts in memory. An engine processes parts
/// before everything else, so only engines take part that have little pending prefill and whose
/// streams are not delayed beyond their `target_gap`.
class prompt_splitter {
public:
    explicit prompt_splitter(const interference_aware_settings& settings) : settings_(settings) {}

    /// Splits the prefill over the smallest number of engines that meets the target; empty if no
    /// split does.
    std::optional<placement_decision> split(const placement_request& request,
                                            std::vector<placement_candidate> candidates) const;
    /// Splits the prefill over idle engines as long as another engine brings the first event
    /// forward by a pass or more; empty if fewer than two engines are worth it.
    std::optional<placement_decision> spread(const placement_request& request,
                                             const std::vector<placement_candidate>& idle) const;
    /// Keeps the prompt on the smallest number of engines that meets the target, or else on the
    /// group with the earliest first event.
    placement_decision form_group(const placement_request& request,
                                  std::vector<placement_candidate> candidates) const;

private:
    /// Engines that can each run a prefill of `part_prefill` without delaying other streams.
    /// The first one generates the answer. Empty if there are fewer than `parts` such engines.
    std::vector<placement_candidate> group_members(
        const placement_request& request, const std::vector<placement_candidate>& candidates,
        std::size_t parts, duration part_prefill) const;
    placement_decision smallest_group(const placement_request& request,
                                      const std::vector<placement_candidate>& candidates) const;
    placement_decision make_group(const placement_request& request,
                                  const std::vector<placement_candidate>& members,
                                  duration time_to_first_event) const;

    interference_aware_settings settings_;
};

}  // namespace fuchsiaquay
