#pragma once

namespace fuchsiaquay {

/// A part of the host that buffers an answer.
class answer_holder {
public:
    answer_holder() = default;
    answer_holder(const answer_holder&) = delete;
    answer_holder& operator=(const answer_holder&) = delete;
    virtual ~answer_holder() = default;

    /// The answers exceed the memory for them, and this is the largest one. The holder has to drop
    /// it soon, but not within this call.
    virtual void on_answer_memory_exceeded() = 0;
};

}  // namespace fuchsiaquay
