#pragma once

#include <cstddef>

#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/placement_candidate.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/prompt_splitter.hpp"
#include "core/placement/waiting_forecast.hpp"

namespace fuchsiaquay {

/// Answers the pattern "long prompts among short ones": a prompt goes where its reading lengthens
/// no pass beyond the pause that the streams there are allowed. All hosts order the engines alike;
/// short prompts share as many engines from the front of that order as their number needs, the
/// largest of them split over two, so that the engines behind stay free for long ones. A long
/// prompt is split over as many engines as its target or the streams beside it need, and one that
/// no engine can hold is kept in the reserved memory of several. What cannot be answered in its
/// time is refused as soon as that is foreseen.
class interference_aware_placement final : public placement_policy {
public:
    explicit interference_aware_placement(interference_aware_settings settings = {});

    placement_decision choose(const placement_request& request,
                              const std::vector<engine_view>& engines, instant now) const override;

private:
    std::vector<placement_candidate> candidates(const placement_request& request,
                                                const std::vector<engine_view>& engines,
                                                instant now) const;
    placement_decision place_short(const placement_request& request,
                                   std::vector<placement_candidate> choice) const;
    placement_decision place_long(const placement_request& request,
                                  std::vector<placement_candidate> choice) const;
    /// A long prompt that finds no engine waits for one, or is refused if that will be too late.
    placement_decision wait_or_refuse(const placement_request& request,
                                      const std::vector<placement_candidate>& engines,
                                      placement_decision found) const;
    /// Takes as many engines out of `choice` as the prompts ahead need.
    void leave_to_others(const placement_request& request,
                         std::vector<placement_candidate>& choice) const;
    bool exceeds_one_engine(const placement_request& request, const engine_profile& profile) const;
    bool exceeds_all_memory(const placement_request& request,
                            const std::vector<placement_candidate>& engines) const;
    /// @param most_pending  reading that may wait at the engine
    /// @param shared  an engine after the first `shared` ones is taken only if none of these fits
    placement_decision place_late(const placement_request& request,
                                  const std::vector<placement_candidate>& choice,
                                  duration most_pending, std::size_t shared) const;
    /// Engines at the front of `choice` that short prompts share.
    std::size_t engines_for_short(const placement_request& request,
                                  const std::vector<placement_candidate>& choice) const;
    /// @param fill  part of the time to the first event that the estimate may fill
    bool acceptable(const placement_candidate& at, const placement_request& request,
                    double fill) const;
    /// Whether reading the prompt whole would lengthen a pass too much on each of the engines that
    /// short prompts share, even if nothing else were to be read there.
    bool too_large_for(const placement_request& request,
                       const std::vector<placement_candidate>& shared) const;
    /// Of the engines that short prompts share; null for none.
    const placement_candidate* best_shared(const placement_request& request,
                                           const std::vector<placement_candidate>& shared,
                                           double fill) const;
    /// First acceptable engine; null for none.
    const placement_candidate* first_for_short(const placement_request& request,
                                               const std::vector<placement_candidate>& choice,
                                               double fill) const;
    const placement_candidate* best_for_long(const placement_request& request,
                                             const std::vector<placement_candidate>& choice) const;

    interference_aware_settings settings_;
    prompt_splitter splitting_;
    waiting_forecast forecast_;
};

}  // namespace fuchsiaquay
