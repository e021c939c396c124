#pragma once

#include <cstddef>
#include <map>

namespace fuchsiaquay {

class answer_holder;

/// Limits the memory of all answers that are buffered on this host. An answer may be without end,
/// or its caller may not read, so that a limit for each answer does not limit the memory of the
/// process. When the limit is exceeded, the largest answers are dropped.
class answer_memory {
public:
    explicit answer_memory(std::size_t limit) : limit_(limit) {}

    /// Sets how many bytes `holder` buffers, and selects the answers that must be dropped.
    void resize(answer_holder& holder, std::size_t bytes);
    /// Has to be called before `holder` is destroyed.
    void remove(answer_holder& holder);

    std::size_t used() const noexcept { return used_; }

private:
    struct share {
        std::size_t bytes = 0;
        /// The holder was told to drop its answer.
        bool dropped = false;
    };

    void drop_largest();

    std::size_t limit_;
    std::size_t used_ = 0;
    /// Bytes of the answers that are about to be dropped.
    std::size_t dropped_ = 0;
    std::map<answer_holder*, share> shares_;
};

}  // namespace fuchsiaquay
