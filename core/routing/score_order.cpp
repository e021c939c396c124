#include "core/routing/score_order.hpp"

#include <algorithm>
#include <tuple>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

bool can_hold(const routing_candidate& candidate, const routing_request& request) {
    return request.memory_tokens <= candidate.memory_tokens;
}

double tie_breaker(const routing_request& request, const routing_candidate& candidate) {
    constexpr double range = 18446744073709551616.0;  // 2^64
    const std::uint64_t seed = stable_hash(candidate.upstream.value());
    return static_cast<double>(stable_hash(request.request.value(), seed)) / range;
}

void sort_by_score(std::vector<scored_candidate>& scored) {
    std::sort(scored.begin(), scored.end(),
              [](const scored_candidate& a, const scored_candidate& b) {
                  return std::tie(a.score, a.upstream) < std::tie(b.score, b.upstream);
              });
}

}  // namespace fuchsiaquay
