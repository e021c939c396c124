#pragma once

namespace fuchsiaquay {

struct dispatch_plan;
struct recorded_answer;
struct refusal;

/// Receives the decisions about one request on behalf of the code that handles its traffic. Called
/// on the control thread; must not block.
class request_listener {
public:
    request_listener() = default;
    request_listener(const request_listener&) = delete;
    request_listener& operator=(const request_listener&) = delete;
    virtual ~request_listener() = default;

    /// Starts an attempt. Its end is reported with `request_pipeline::attempt_ended`.
    virtual void dispatch(const dispatch_plan& plan) = 0;
    /// Final call: sends the refusal to the caller and cancels a running attempt.
    virtual void refuse(const refusal& reason) = 0;
    /// Final call: sends the recorded answer of the earlier call to the caller.
    virtual void replay(const recorded_answer& answer) = 0;
};

}  // namespace fuchsiaquay
