#include "core/membership/update_queue.hpp"

#include <algorithm>
#include <tuple>

namespace fuchsiaquay {

std::size_t update_queue::decimal_digits(std::size_t count) {
    constexpr std::size_t base = 10;
    std::size_t digits = 1;
    for (std::size_t reach = base; reach < count; reach *= base) {
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
    for (auto& [host, waiting] : pending_) {
        order.push_back(&waiting);
    }
    std::stable_sort(order.begin(), order.end(), [](const entry* a, const entry* b) {
        return std::tie(a->urgent, a->left) > std::tie(b->urgent, b->left);
    });
    order.resize(std::min(count, order.size()));
    std::vector<member_update> taken;
    taken.reserve(order.size());
    for (entry* waiting : order) {
        taken.push_back(waiting->update);
        --waiting->left;
    }
    for (const member_update& update : taken) {
        const auto it = pending_.find(update.host);
        if (it->second.left == 0) {
            pending_.erase(it);
        }
    }
    return taken;
}

}  // namespace fuchsiaquay
