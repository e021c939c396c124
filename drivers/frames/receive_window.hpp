#pragma once

#include <cstdint>
#include <set>

namespace fuchsiaquay {

/// Replay protection for the frames of one sender: each sequence of the newest incarnation is
/// accepted once. Sequences below the window are refused.
class receive_window {
public:
    /// True if the frame is new. Sequence 0 (a bare acknowledgement) is never recorded.
    bool accept(std::uint64_t incarnation, std::uint64_t sequence);
    /// Frees the memory of the window once its connection has ended: all up to the highest counts
    /// as seen.
    void compact();
    /// Highest accepted sequence of the newest incarnation.
    std::uint64_t highest() const noexcept { return highest_; }

private:
    std::uint64_t incarnation_ = 0;
    std::uint64_t highest_ = 0;
    /// Every sequence up to here counts as seen.
    std::uint64_t floor_ = 0;
    std::set<std::uint64_t> seen_;
};

}  // namespace fuchsiaquay
