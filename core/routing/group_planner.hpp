#pragma once

#include <cstdint>
#include <vector>

#include "core/routing/group_part.hpp"
#include "core/routing/routing_request.hpp"
#include "core/routing/scored_candidate.hpp"

namespace fuchsiaquay {

/// Chooses the engines of a prompt that is larger than one of them.
class group_planner {
public:
    /// @param part_memory_tokens  most KV that a long prompt may take on one engine
    /// @param last_part_tokens    prompt tokens left to the engine that generates the answer
    group_planner(std::int64_t part_memory_tokens, std::int64_t last_part_tokens);

    /// True when the request needs a group.
    bool needs_group(const routing_request& request) const;
    /// Parts in the order of their upstream ids, which is the order of reservation on every host;
    /// empty when there are too few engines.
    /// @param candidates  best first
    std::vector<group_part> plan(const routing_request& request,
                                 const std::vector<scored_candidate>& candidates) const;

private:
    std::int64_t part_memory_tokens_;
    std::int64_t last_part_tokens_;
};

}  // namespace fuchsiaquay
