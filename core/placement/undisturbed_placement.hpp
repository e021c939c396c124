#pragma once

#include <cstdint>
#include <optional>

#include "core/placement/placement_policy.hpp"
#include "core/placement/undisturbed_settings.hpp"

namespace fuchsiaquay {

/// Answers the pattern "long prompts among short ones": a prompt goes where its reading lengthens
/// no pass beyond the pause that the streams there are allowed. All hosts order the engines alike;
/// short prompts share as many engines from the front of that order as their number needs, so that
/// the engines behind stay free for long ones. A long prompt is split over as many engines as its
/// target or the streams beside it need, and one that no engine can hold is kept in the reserved
/// memory of several.
class undisturbed_placement final : public placement_policy {
public:
    explicit undisturbed_placement(undisturbed_settings settings = {});

    placement_decision choose(const placement_request& request,
                              const std::vector<engine_view>& engines, instant now) const override;

private:
    struct candidate {
        const engine_view* engine = nullptr;
        int requests = 0;
        /// Pass and reading that wait there before the prompt is added.
        duration pass{};
        duration pending{};
        duration smallest_gap{};
        std::int64_t free_tokens = 0;
        bool has_slot = false;
        bool can_answer = false;
        /// Position in the order that all hosts share.
        std::uint64_t order = 0;
    };

    std::vector<candidate> candidates(const placement_request& request,
                                      const std::vector<engine_view>& engines, instant now) const;
    std::optional<placement_decision> place_whole(const placement_request& request,
                                                  const std::vector<candidate>& choice) const;
    std::optional<placement_decision> place_split(const placement_request& request,
                                                  std::vector<candidate> choice) const;
    void leave_to_others(const placement_request& request, std::vector<candidate>& choice) const;
    bool exceeds_one_engine(const placement_request& request,
                            const std::vector<candidate>& choice) const;
    placement_decision place_group(const placement_request& request,
                                   std::vector<candidate> choice) const;
    /// Engines that can read `part` each without disturbing anybody, the one that answers first;
    /// none when there are fewer than `parts`.
    std::vector<candidate> group_members(const placement_request& request,
                                         const std::vector<candidate>& choice, std::size_t parts,
                                         duration part) const;
    placement_decision smallest_group(const placement_request& request,
                                      const std::vector<candidate>& choice) const;
    placement_decision make_group(const placement_request& request,
                                  const std::vector<candidate>& members,
                                  duration first_event) const;
    placement_decision place_late(const placement_request& request,
                                  const std::vector<candidate>& choice) const;
    bool disturbs(const candidate& at, const placement_request& request, duration reading) const;
    std::size_t engines_for_short(const placement_request& request,
                                  const std::vector<candidate>& choice) const;
    bool acceptable(const candidate& at, const placement_request& request) const;
    const candidate* best_for_short(const placement_request& request,
                                    const std::vector<candidate>& choice) const;
    const candidate* best_for_long(const placement_request& request,
                                   const std::vector<candidate>& choice) const;

    undisturbed_settings settings_;
};

}  // namespace fuchsiaquay
