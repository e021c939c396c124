#include "core/routing/group_planner.hpp"

#include <algorithm>

namespace fuchsiaquay {

group_planner::group_planner(std::int64_t part_memory_tokens, std::int64_t last_part_tokens)
    : part_memory_tokens_(part_memory_tokens), last_part_tokens_(last_part_tokens) {}

bool group_planner::needs_group(const routing_request& request) const {
    return request.memory_tokens > part_memory_tokens_;
}

std::vector<group_part> group_planner::plan(const routing_request& request,
                                            const std::vector<scored_candidate>& candidates) const {
    const std::int64_t held_tokens = request.prompt_tokens - last_part_tokens_;
    const std::int64_t holders = (held_tokens + part_memory_tokens_ - 1) / part_memory_tokens_;
    if (static_cast<std::int64_t>(candidates.size()) < holders + 1) {
        return {};
    }
    std::vector<group_part> parts;
    std::int64_t remaining_tokens = held_tokens;
    for (std::int64_t i = 0; i < holders; ++i) {
        const std::int64_t tokens = remaining_tokens / (holders - i);
        remaining_tokens -= tokens;
        parts.push_back(
            group_part{candidates[static_cast<std::size_t>(i)].upstream, tokens, tokens, false});
    }
    const std::int64_t output_tokens = request.memory_tokens - request.prompt_tokens;
    parts.push_back(group_part{candidates[static_cast<std::size_t>(holders)].upstream,
                               last_part_tokens_, last_part_tokens_ + output_tokens, true});
    std::sort(parts.begin(), parts.end(),
              [](const group_part& a, const group_part& b) { return a.upstream < b.upstream; });
    return parts;
}

}  // namespace fuchsiaquay
