#pragma once

#include <cstddef>

#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/placement_candidate.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/prompt_splitter.hpp"
#include "core/placement/waiting_forecast.hpp"

namespace fuchsiaquay {

/// Keeps long prompts from delaying short ones: a prompt is placed on an engine where its prefill
/// does not lengthen a pass beyond the `target_gap` of the streams there.
///
/// All hosts use the same engine order. Short prompts share the engines at the front of that order,
/// as many as their number requires, and the largest of them are split over two engines, so that
/// the engines at the back stay available for long prompts. A long prompt is spread over engines
/// that are idle and that a burst of short prompts would not need; without such engines it is split
/// over as many as its target or the other streams require. A prompt that does not fit into one
/// engine is kept in reserved memory of several engines. A prompt that cannot be answered before
/// its deadline is refused as soon as the forecast shows this.
class interference_aware_placement final : public placement_policy {
public:
    explicit interference_aware_placement(interference_aware_settings settings = {});

    placement_decision choose(const placement_request& request,
                              const std::vector<engine_view>& engines, instant now) const override;

private:
    placement_decision choose_among(const placement_request& request,
                                    const std::vector<engine_view>& engines, instant now) const;
    std::vector<placement_candidate> make_candidates(const placement_request& request,
                                                     const std::vector<engine_view>& engines,
                                                     instant now) const;
    static placement_decision place_whole(const placement_request& request,
                                          const placement_candidate& candidate);
    placement_decision place_short(const placement_request& request,
                                   std::vector<placement_candidate> candidates) const;
    placement_decision place_long(const placement_request& request,
                                  std::vector<placement_candidate> candidates) const;
    /// Places a long prompt on as few engines as meet its target.
    placement_decision place_on_fewest_engines(const placement_request& request,
                                               std::vector<placement_candidate> candidates) const;
    /// Number of prompts like `request` that the engines can take until the next first events. A
    /// late prompt counts one place for each engine.
    double room(const placement_request& request,
                const std::vector<placement_candidate>& engines) const;
    /// Lets a prompt wait whose place belongs to the share of another host.
    placement_decision within_share(const placement_request& request,
                                    const std::vector<placement_candidate>& engines,
                                    placement_decision decision) const;
    /// Whether a long prompt that `decision` places on too few engines for its target is expected
    /// to meet it on more engines that become available soon.
    bool gains_by_waiting(const placement_request& request,
                          const std::vector<placement_candidate>& engines,
                          const placement_decision& decision) const;
    /// Decides whether a long prompt without an engine waits or is refused because the forecast
    /// misses its deadline.
    placement_decision wait_or_refuse(const placement_request& request,
                                      const std::vector<placement_candidate>& engines,
                                      placement_decision decision) const;
    /// Removes as many engines from `candidates` as the prompts ahead in the queue need.
    void exclude_engines_for_prompts_ahead(const placement_request& request,
                                           std::vector<placement_candidate>& candidates) const;
    /// Engines without work that prompts with a smaller target gap are not expected to need soon.
    std::vector<placement_candidate> spare_engines(
        const placement_request& request, const std::vector<placement_candidate>& candidates) const;
    bool exceeds_one_engine(const placement_request& request, const engine_profile& profile) const;
    bool exceeds_all_memory(const placement_request& request,
                            const std::vector<placement_candidate>& engines) const;
    /// Places a prompt that misses its target on the engine with the earliest first event.
    /// @param max_pending_prefill  maximum pending prefill time of the engine
    /// @param shared_count  engines after the first `shared_count` ones are used only if none of
    ///     these fits
    placement_decision place_late(const placement_request& request,
                                  const std::vector<placement_candidate>& candidates,
                                  duration max_pending_prefill, std::size_t shared_count) const;
    /// Places a short prompt that misses its target where prompts that can still meet theirs leave
    /// room, or lets it wait for such room while its caller does.
    placement_decision place_late_short(const placement_request& request,
                                        std::vector<placement_candidate> candidates,
                                        std::size_t shared_count) const;
    bool has_idle_engine(const std::vector<placement_candidate>& candidates) const;
    /// Removes the engines on which a late prompt would take a slot that prompts need which can
    /// still meet their target.
    /// @return  how many of the first `shared_count` engines remain
    std::size_t leave_room_for_prompts_in_time(std::vector<placement_candidate>& candidates,
                                               std::size_t shared_count) const;
    /// One of the engines whose first event is expected within a pass of the earliest; null without
    /// candidates. Differs between prompts, so that hosts that decide at the same time do not
    /// choose the same engine.
    const placement_candidate* late_choice(
        const placement_request& request,
        const std::vector<const placement_candidate*>& candidates) const;
    /// Number of engines at the front of `candidates` that short prompts share.
    std::size_t engines_for_short_prompts(const placement_request& request,
                                          const std::vector<placement_candidate>& candidates) const;
    /// Number of engines that the streams with a target gap of at most `max_target_gap` need.
    double engines_for_streams(const std::vector<placement_candidate>& candidates,
                               duration max_target_gap) const;
    /// @param utilization  fraction of the time until the first event that the estimate may take
    bool acceptable(const placement_candidate& candidate, const placement_request& request,
                    double utilization) const;
    /// True if prefilling the whole prompt would lengthen a pass too much on every shared engine,
    /// even without other pending prefill.
    bool too_large_for_shared(const placement_request& request,
                              const std::vector<placement_candidate>& shared) const;
    /// Best acceptable engine among those that short prompts share; null if there is none.
    const placement_candidate* best_shared(const placement_request& request,
                                           const std::vector<placement_candidate>& shared,
                                           double utilization) const;
    /// First acceptable engine; null if there is none.
    const placement_candidate* first_acceptable(const placement_request& request,
                                                const std::vector<placement_candidate>& candidates,
                                                double utilization) const;
    const placement_candidate* best_for_long_prompt(
        const placement_request& request, const std::vector<placement_candidate>& candidates) const;

    interference_aware_settings settings_;
    prompt_splitter splitter_;
    waiting_forecast forecast_;
};

}  // namespace fuchsiaquay
