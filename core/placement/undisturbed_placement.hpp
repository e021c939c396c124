#pragma once

#include <cstdint>
#include <optional>

#include "core/placement/placement_candidate.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/prompt_splitting.hpp"
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
    std::vector<placement_candidate> candidates(const placement_request& request,
                                                const std::vector<engine_view>& engines,
                                                instant now) const;
    std::optional<placement_decision> place_whole(
        const placement_request& request, const std::vector<placement_candidate>& choice) const;
    void leave_to_others(const placement_request& request,
                         std::vector<placement_candidate>& choice) const;
    bool exceeds_one_engine(const placement_request& request,
                            const std::vector<placement_candidate>& choice) const;
    placement_decision place_late(const placement_request& request,
                                  const std::vector<placement_candidate>& choice) const;
    std::size_t engines_for_short(const placement_request& request,
                                  const std::vector<placement_candidate>& choice) const;
    /// Orders the engines for a short prompt: the shared ones, then those with short streams.
    void keep_together(const placement_request& request,
                       std::vector<placement_candidate>& choice) const;
    bool acceptable(const placement_candidate& at, const placement_request& request) const;
    const placement_candidate* best_for_short(const placement_request& request,
                                              const std::vector<placement_candidate>& choice) const;
    const placement_candidate* best_for_long(const placement_request& request,
                                             const std::vector<placement_candidate>& choice) const;

    undisturbed_settings settings_;
    prompt_splitting splitting_;
};

}  // namespace fuchsiaquay
