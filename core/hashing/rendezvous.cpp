#include "core/hashing/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

std::vector<host_id> rendezvous_order(std::string_view key, const std::vector<host_id>& candidates,
                                      std::size_t count) {
    const std::uint64_t key_hash = stable_hash(key);
    std::vector<std::pair<std::uint64_t, host_id>> weighted;
    weighted.reserve(candidates.size());
    for (const host_id& candidate : candidates) {
        weighted.emplace_back(stable_hash(candidate.value(), key_hash), candidate);
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) { return b < a; });
    const std::size_t kept = std::min(count, weighted.size());
    std::vector<host_id> order;
    order.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        order.push_back(std::move(weighted[i].second));
    }
    return order;
}

host_id rendezvous_owner(std::string_view key, const std::vector<host_id>& candidates) {
    std::vector<host_id> order = rendezvous_order(key, candidates, 1);
    if (order.empty()) {
        return host_id();
    }
    return order.front();
}

}  // namespace fuchsiaquay
