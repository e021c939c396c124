#include "drivers/frames/receive_window.hpp"

#include <algorithm>
#include <cstddef>

namespace fuchsiaquay {
namespace {

constexpr std::size_t window_size = 256;

}  // namespace

bool receive_window::accept(std::uint64_t incarnation, std::uint64_t sequence) {
    if (incarnation < incarnation_) {
        return false;
    }
    if (incarnation > incarnation_) {
        incarnation_ = incarnation;
        highest_ = 0;
        floor_ = 0;
        seen_.clear();
    }
    if (sequence == 0) {
        return true;
    }
    if (sequence <= floor_ || !seen_.insert(sequence).second) {
        return false;
    }
    highest_ = std::max(highest_, sequence);
    if (seen_.size() > window_size) {
        floor_ = *seen_.begin();
        seen_.erase(seen_.begin());
    }
    return true;
}

void receive_window::compact() {
    floor_ = highest_;
    seen_.clear();
}

}  // namespace fuchsiaquay
