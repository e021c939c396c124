#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/placement/interference_aware_settings.hpp"
#include "core/placement/placement_candidate.hpp"
#include "core/placement/placement_decision.hpp"

namespace fuchsiaquay {

struct placement_request;

/// Answers the pattern "one prompt too large for one engine": it is read, or read and kept, by
/// several. Engines read parts ahead of everything else, so only those take part that read nothing
/// and whose streams are not disturbed.
class prompt_splitter {
public:
    explicit prompt_splitter(const interference_aware_settings& settings) : settings_(settings) {}

    /// Fewest engines that read the prompt in time for its target; nothing when there are none.
    std::optional<placement_decision> split(const placement_request& request,
                                            std::vector<placement_candidate> choice) const;
    /// Fewest engines that hold the prompt, in time for its target or else as early as possible.
    placement_decision form_group(const placement_request& request,
                                  std::vector<placement_candidate> choice) const;

private:
    /// Engines that can read `part` each without disturbing anybody, the one that answers first;
    /// none when there are fewer than `parts`.
    std::vector<placement_candidate> group_members(const placement_request& request,
                                                   const std::vector<placement_candidate>& choice,
                                                   std::size_t parts, duration part) const;
    placement_decision smallest_group(const placement_request& request,
                                      const std::vector<placement_candidate>& choice) const;
    placement_decision make_group(const placement_request& request,
                                  const std::vector<placement_candidate>& members,
                                  duration time_to_first_event) const;

    interference_aware_settings settings_;
};

}  // namespace fuchsiaquay
