#pragma once

#include <optional>

#include "core/placement/placement_policy.hpp"
#include "core/placement/undisturbed_settings.hpp"

namespace fuchsiaquay {

/// Answers the pattern "long prompts among short ones": a prompt goes where its reading lengthens
/// no pass beyond the pause that the streams there are allowed. Short prompts fill engines that
/// already stream, so that whole engines stay free for long ones; a long prompt is split over as
/// many engines as its target or the streams beside it need.
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
        bool can_answer = false;
    };

    std::vector<candidate> candidates(const placement_request& request,
                                      const std::vector<engine_view>& engines, instant now) const;
    std::optional<placement_decision> place_whole(const placement_request& request,
                                                  const std::vector<candidate>& choice) const;
    std::optional<placement_decision> place_split(const placement_request& request,
                                                  std::vector<candidate> choice) const;
    placement_decision place_late(const placement_request& request,
                                  const std::vector<candidate>& choice) const;
    bool disturbs(const candidate& at, const placement_request& request, duration reading) const;
    bool prefer(const candidate& a, const candidate& b, const placement_request& request,
                duration reading) const;

    undisturbed_settings settings_;
};

}  // namespace fuchsiaquay
