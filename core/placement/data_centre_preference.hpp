#pragma once

#include <string>
#include <vector>

#include "core/placement/data_centre_preference_settings.hpp"
#include "core/placement/placement_policy.hpp"

namespace fuchsiaquay {

/// Places prompts like another policy, but on engines of the host's own data centre while these
/// answer within the target. Another data centre is used if that saves the caller a wait that
/// matters for the target. Prompts that move few bytes for each second of engine time leave first.
///
/// A request is never placed later than its target if an engine elsewhere would meet it.
class data_centre_preference final : public placement_policy {
public:
    /// @param placement  must outlive this object
    /// @param data_centre  data centre of this host
    data_centre_preference(const placement_policy& placement, std::string data_centre,
                           data_centre_preference_settings settings = {});

    placement_decision choose(const placement_request& request,
                              const std::vector<engine_view>& engines, instant now) const override;

private:
    using engine_list = std::vector<engine_view>;

    /// @param inside  whether to return the engines in `data_centre` or the others
    static engine_list engines_of(const std::vector<engine_view>& engines,
                                  const std::string& data_centre, bool inside);
    /// Whether a decision meets the part `utilization` of the time left to the target.
    static bool meets(const placement_decision& decision, const placement_request& request,
                      double utilization);
    /// Chooses among all engines. If prompt parts would cross data centres, a data centre that
    /// meets the target alone is preferred, because the memory of the parts is large.
    placement_decision choose_anywhere(const placement_request& request,
                                       const std::vector<engine_view>& engines, instant now) const;
    placement_decision choose_away(const placement_request& request,
                                   const std::vector<engine_view>& engines,
                                   const placement_decision& home, instant now) const;
    /// Whether leaving for `away` saves a wait that matters.
    bool pays(const placement_decision& home, const placement_decision& away,
              const placement_request& request, bool left_before) const;

    const placement_policy& placement_;
    std::string data_centre_;
    data_centre_preference_settings settings_;
    /// Whether the last short and the last long prompt left the data centre. Engines that were
    /// short of room are used again only when they have some to spare.
    mutable bool short_prompts_leave_ = false;
    mutable bool long_prompts_leave_ = false;
};

/// Whether a plain request stays at an upstream of its host's data centre.
/// @param own_load  requests at the least loaded upstream there
/// @param best_load  requests at the least loaded upstream of all
/// @param slots  requests that the upstream processes at once
constexpr bool stays_in_data_centre(int own_load, int best_load, int slots) {
    return own_load < slots || own_load <= best_load;
}

}  // namespace fuchsiaquay
