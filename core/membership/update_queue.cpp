#include "core/membership/update_queue.hpp"

#include <algorithm>
#include <tuple>

namespace fuchsiaquay {

std::size_t update_queue::decimal_digits(std::size_t count) {
    constexpr std::size_t base = 10;
    std::size_t digits = 1;
    for (std::size_t power = base; power < count; power *= base) {
        ++digits;
    }
    return digits;
}

void update_queue::add(const member_update& update, std::size_t transmissions, bool urgent) {
    if (transmissions != 0) {
        pending_[update.host] = entry{update, transmissions, urgent};
    }
}

std::vector<member_update> update_queue::take(std::size_t count) {
    std::vector<entry*> order;
    order.reserve(pending_.size());
    for (auto& [host, queued] : pending_) {
        order.push_back(&queued);
    }
    std::stable_sort(order.begin(), order.end(), [](const entry* a, const entry* b) {
        return std::tie(a->urgent, a->remaining) > std::tie(b->urgent, b->remaining);
    });
    order.resize(std::min(count, order.size()));
    std::vector<member_update> result;
    result.reserve(order.size());
    for (entry* queued : order) {
        result.push_back(queued->update);
        --queued->remaining;
    }
    for (const member_update& update : result) {
        const auto it = pending_.find(update.host);
        if (it->second.remaining == 0) {
            pending_.erase(it);
        }
    }
    return result;
}

}  // namespace fuchsiaquay
