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
        window_start_ = 0;
        received_.clear();
    }
    if (sequence == 0) {
        return true;
    }
    if (sequence <= window_start_ || !received_.insert(sequence).second) {
        return false;
    }
    highest_ = std::max(highest_, sequence);
    if (received_.size() > window_size) {
        window_start_ = *received_.begin();
        received_.erase(received_.begin());
    }
    return true;
}

void receive_window::compact() {
    window_start_ = highest_;
    received_.clear();
}

}  // namespace fuchsiaquay
