#include "core/relay/answer_memory.hpp"

#include "core/relay/answer_holder.hpp"

namespace fuchsiaquay {

void answer_memory::resize(answer_holder& holder, std::size_t bytes) {
    if (bytes == 0) {
        remove(holder);
        return;
    }
    share& own = shares_[&holder];
    used_ += bytes - own.bytes;
    if (own.dropped) {
        dropped_ += bytes - own.bytes;
    }
    own.bytes = bytes;
    while (used_ - dropped_ > limit_) {
        drop_largest();
    }
}

void answer_memory::remove(answer_holder& holder) {
    const auto found = shares_.find(&holder);
    if (found == shares_.end()) {
        return;
    }
    used_ -= found->second.bytes;
    if (found->second.dropped) {
        dropped_ -= found->second.bytes;
    }
    shares_.erase(found);
}

void answer_memory::drop_largest() {
    auto largest = shares_.end();
    for (auto item = shares_.begin(); item != shares_.end(); ++item) {
        const bool larger = largest == shares_.end() || item->second.bytes > largest->second.bytes;
        if (!item->second.dropped && larger) {
            largest = item;
        }
    }
    // Only answers that are not dropped yet count, so there is one.
    largest->second.dropped = true;
    dropped_ += largest->second.bytes;
    largest->first->on_answer_memory_exceeded();
}

}  // namespace fuchsiaquay
