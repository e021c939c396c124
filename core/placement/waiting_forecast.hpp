#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/placement_candidate.hpp"

namespace fuchsiaquay {

struct engine_profile;
struct placement_request;

/// Predicts when a prompt that no engine can take now will get one, so that a prompt that cannot be
/// answered before its deadline is refused immediately. The forecast assumes that engines keep
/// their speed, that answers have the usual length and that no further prompts arrive.
class waiting_forecast {
public:
    struct prediction {
        /// Time until engines become available for the prompt, after the prompts ahead of it.
        duration start{};
        /// Time until the first event, and until the complete answer.
        duration time_to_first_event{};
        duration complete{};
    };

    explicit waiting_forecast(const interference_aware_settings& settings) : settings_(settings) {}

    /// @param engines  all engines that are alive and accept work
    /// @return nothing if there are too few engines for the prompt
    std::optional<prediction> predict(const placement_request& request,
                                      const std::vector<placement_candidate>& engines) const;

private:
    /// Times until engines become available for long prompts, in ascending order. Contains at least
    /// `min_engines` times if there are that many engines.
    std::vector<duration> available_times(const placement_request& request,
                                          const std::vector<placement_candidate>& engines,
                                          std::size_t min_engines) const;

    interference_aware_settings settings_;
};

}  // namespace fuchsiaquay
