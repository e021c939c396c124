#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/placement_candidate.hpp"

namespace fuchsiaquay {

struct engine_profile;
struct placement_request;

/// Answers the pattern "more long prompts than engines": tells when a prompt that finds no engine
/// now would get one, so that what cannot be answered in time is refused at once. It counts with
/// engines that keep their pace, with streams that end as usual and with nobody who comes later.
class waiting_forecast {
public:
    struct prediction {
        /// Time until engines come free for the prompt, after those that go before it.
        duration start{};
        /// Time until its first event, and until its whole answer.
        duration time_to_first_event{};
        duration complete{};
    };

    explicit waiting_forecast(const interference_aware_settings& settings) : settings_(settings) {}

    /// @param engines  every engine that is alive and accepts work
    /// @return nothing when there are too few engines for the prompt
    std::optional<prediction> predict(const placement_request& request,
                                      const std::vector<placement_candidate>& engines) const;

private:
    /// Times until engines come free for long prompts, sorted; at least `fewest` of them if there
    /// are as many engines.
    std::vector<duration> free_times(const placement_request& request,
                                     const std::vector<placement_candidate>& engines,
                                     std::size_t fewest) const;

    interference_aware_settings settings_;
};

}  // namespace fuchsiaquay
