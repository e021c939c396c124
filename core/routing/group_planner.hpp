#pragma once

#include <cstdint>
#include <vector>

#include "core/routing/group_part.hpp"
#include "core/routing/routing_request.hpp"
#include "core/routing/scored_candidate.hpp"

namespace fuchsiaquay {

/// Plans the group of engines for a prompt that does not fit into one engine.
class group_planner {
public:
    /// @param part_memory_tokens  maximum KV cache of a long prompt on one engine
    /// @param last_part_tokens    prompt tokens for the engine that generates the answer
    group_planner(std::int64_t part_memory_tokens, std::int64_t last_part_tokens);

    bool needs_group(const routing_request& request) const;
    /// Returns the parts sorted by upstream id, which is the order of reservation on every host;
    /// empty if there are too few engines.
    /// @param candidates  engines sorted by preference, the best one first
    std::vector<group_part> plan(const routing_request& request,
                                 const std::vector<scored_candidate>& candidates) const;

private:
    std::int64_t part_memory_tokens_;
    std::int64_t last_part_tokens_;
};

}  // namespace fuchsiaquay
