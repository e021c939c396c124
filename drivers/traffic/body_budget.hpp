#pragma once

#include <cstddef>

namespace fuchsiaquay {

/// Memory that the bodies of all requests of this host may take together.
class body_budget {
public:
    explicit body_budget(std::size_t limit) : limit_(limit) {}

    /// False: the memory is taken; nothing is counted.
    bool try_reserve(std::size_t bytes) {
        if (used_ + bytes > limit_) {
            return false;
        }
        used_ += bytes;
        return true;
    }
    void release(std::size_t bytes) { used_ -= bytes; }
    std::size_t used() const noexcept { return used_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

}  // namespace fuchsiaquay
