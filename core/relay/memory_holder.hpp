#pragma once

namespace fuchsiaquay {

/// A part of the host that holds memory for a caller: its request, or its answer.
class memory_holder {
public:
    memory_holder() = default;
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;
    virtual ~memory_holder() = default;

    /// The memory for callers is exceeded, and this holder is the next to give up its part. It has
    /// to release it soon, but not within this call.
    /// @return false if the holder cannot give up anything now
    virtual bool on_memory_exceeded() = 0;
};

}  // namespace fuchsiaquay
