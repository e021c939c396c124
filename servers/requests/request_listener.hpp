#pragma once

namespace fuchsiaquay {

struct dispatch_plan;
struct recorded_answer;
struct refusal;

/// The traffic side of one request. Called on the control thread; must return at once.
class request_listener {
public:
    request_listener() = default;
    request_listener(const request_listener&) = delete;
    request_listener& operator=(const request_listener&) = delete;
    virtual ~request_listener() = default;

    /// Start an attempt. Its end is reported with `request_pipeline::attempt_ended`.
    virtual void dispatch(const dispatch_plan& plan) = 0;
    /// Final: tell the caller; cancel a running attempt.
    virtual void refuse(const refusal& reason) = 0;
    /// Final: give the caller the answer of the earlier call.
    virtual void replay(const recorded_answer& answer) = 0;
};

}  // namespace fuchsiaquay
