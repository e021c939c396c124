#include "servers/relay/memory_claims.hpp"

#include "core/placement/placement_decision.hpp"
#include "servers/fleet/upstream_registry.hpp"

namespace fuchsiaquay {

std::vector<memory_claim> memory_claims(const placement_decision& decision,
                                        const upstream_registry& upstreams, const std::string& id) {
    std::vector<memory_claim> claims;
    claims.reserve(decision.helpers.size() + 1);
    claims.push_back(
        {upstreams.find(decision.engine)->address, decision.reserved_tokens, id + "-0"});
    for (const placement_part& part : decision.helpers) {
        claims.push_back({upstreams.find(part.engine)->address, part.reserved_tokens,
                          id + "-" + std::to_string(claims.size())});
    }
    return claims;
}

}  // namespace fuchsiaquay
