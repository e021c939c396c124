#pragma once

#include <cstddef>

namespace fuchsiaquay {

/// Limits the total memory of all request bodies on this host.
class body_budget {
public:
    explicit body_budget(std::size_t limit) : limit_(limit) {}

    /// Returns false, and reserves nothing, when the limit would be exceeded.
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
