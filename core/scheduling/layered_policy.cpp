#include "core/scheduling/layered_policy.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace fuchsiaquay {
namespace {

/// Size of one layer for a customer of weight 1, as a fraction of the upstream's speed.
constexpr double layer_share = 0.02;

}  // namespace

layered_policy::layered_policy(double tokens_per_second) : fair_rank_policy(tokens_per_second) {}

fair_rank_policy::flow* layered_policy::next_flow(lane& current, bool over_share,
                                                  instant now) const {
    flow* first = nullptr;
    for (auto& [customer, customer_flow] : current.flows) {
        if (customer_flow.waiting.empty() || over_share) {
            continue;
        }
        if (first == nullptr ||
            std::make_tuple(layers(customer_flow, now), customer_flow.waiting.front().start_tag) <
                std::make_tuple(layers(*first, now), first->waiting.front().start_tag)) {
            first = &customer_flow;
        }
    }
    return first;
}

std::vector<int> layered_policy::level_order(instant now) const {
    std::vector<std::pair<std::int64_t, int>> keys;
    for (const auto& [level, state] : levels()) {
        std::int64_t fewest = std::numeric_limits<std::int64_t>::max();
        for (const lane& current : state.lanes) {
            for (const auto& [customer, customer_flow] : current.flows) {
                fewest = customer_flow.waiting.empty()
                             ? fewest
                             : std::min(fewest, layers(customer_flow, now));
            }
        }
        if (fewest == std::numeric_limits<std::int64_t>::max()) {
            continue;
        }
        const bool most_urgent = level == levels().begin()->first;
        keys.emplace_back(most_urgent ? std::min<std::int64_t>(fewest, 1) : fewest, level);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<int> order;
    order.reserve(keys.size());
    for (const auto& [key, level] : keys) {
        order.push_back(level);
    }
    return order;
}

bool layered_policy::is_over_share(const queued_request& /*queued*/, instant /*now*/) const {
    return false;
}

std::int64_t layered_policy::layers(const flow& customer_flow, instant now) const {
    const double layer = layer_share * customer_flow.weight * tokens_per_second();
    return static_cast<std::int64_t>(customer_flow.recent.at(now) / layer);
}

}  // namespace fuchsiaquay
