#pragma once

#include <cstdint>
#include <set>

namespace fuchsiaquay {

/// Replay protection for the frames of one sender. Accepts each sequence of the newest incarnation
/// once and rejects sequences below the window.
class receive_window {
public:
    /// Returns true if the frame is new. Sequence 0 (only an acknowledgement) is not recorded.
    bool accept(std::uint64_t incarnation, std::uint64_t sequence);
    /// Frees memory after the connection has ended: marks all sequences up to the highest one as
    /// received.
    void compact();
    /// Highest accepted sequence of the newest incarnation.
    std::uint64_t highest() const noexcept { return highest_; }

private:
    std::uint64_t incarnation_ = 0;
    std::uint64_t highest_ = 0;
    /// Every sequence up to this one counts as received.
    std::uint64_t window_start_ = 0;
    std::set<std::uint64_t> received_;
};

}  // namespace fuchsiaquay
