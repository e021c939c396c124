#include "core/relay/relay_memory.hpp"

#include <tuple>

#include "core/relay/memory_holder.hpp"

namespace fuchsiaquay {

void relay_memory::set(memory_holder& holder, const memory_claim& claim) {
    if (claim.bytes == 0) {
        remove(holder);
        return;
    }
    const auto inserted = shares_.try_emplace(&holder);
    share& own = inserted.first->second;
    if (!inserted.second) {
        if (own.claim == claim) {
            return;
        }
        subtract(own);
    }
    own.claim = claim;
    add(own);
    std::set<memory_holder*> unable;
    while (used_ - ending_ > limit_ && cut_next(unable)) {
    }
}

void relay_memory::remove(memory_holder& holder) {
    const auto found = shares_.find(&holder);
    if (found == shares_.end()) {
        return;
    }
    subtract(found->second);
    shares_.erase(found);
}

void relay_memory::subtract(const share& item) {
    used_ -= item.claim.bytes;
    if (item.ending) {
        ending_ -= item.claim.bytes;
        return;
    }
    const auto owner = owners_.find(item.claim.owner);
    owner->second -= item.claim.bytes;
    if (owner->second == 0) {
        owners_.erase(owner);
    }
}

void relay_memory::add(const share& item) {
    used_ += item.claim.bytes;
    if (item.ending) {
        ending_ += item.claim.bytes;
    } else {
        owners_[item.claim.owner] += item.claim.bytes;
    }
}

bool relay_memory::cut_next(std::set<memory_holder*>& unable) {
    for (;;) {
        auto next = shares_.end();
        for (auto item = shares_.begin(); item != shares_.end(); ++item) {
            const bool eligible = !item->second.ending && unable.count(item->first) == 0;
            if (eligible && (next == shares_.end() || goes_before(item->second, next->second))) {
                next = item;
            }
        }
        if (next == shares_.end()) {
            return false;
        }
        if (!next->first->on_memory_exceeded()) {
            unable.insert(next->first);
            continue;
        }
        subtract(next->second);
        next->second.ending = true;
        add(next->second);
        ++cuts_;
        return true;
    }
}

bool relay_memory::goes_before(const share& a, const share& b) const {
    const auto priority = [this](const share& item) {
        return std::make_tuple(!item.claim.confirmed, owners_.at(item.claim.owner),
                               item.claim.bytes);
    };
    return priority(a) > priority(b);
}

}  // namespace fuchsiaquay
