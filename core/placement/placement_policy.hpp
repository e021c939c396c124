#pragma once

#include <vector>

#include "core/placement/engine_view.hpp"
#include "core/placement/placement_decision.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct placement_request;

/// Chooses the engines that process a prompt.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    virtual ~placement_policy() = default;

    /// @param engines  all engines that are alive and accept work
    virtual placement_decision choose(const placement_request& request,
                                      const std::vector<engine_view>& engines,
                                      instant now) const = 0;
};

}  // namespace fuchsiaquay
