#pragma once

#include <functional>
#include <memory>

namespace fuchsiaquay {

struct attempt_result;
struct recorded_answer;
struct refusal;
class request_flow;

/// One step in the processing of a request. Used on the control thread.
class request_filter {
public:
    /// Callbacks that continue or end the request. A filter calls exactly one of them, exactly
    /// once, from within `admit` or later.
    struct filter_callbacks {
        std::function<void()> proceed;
        std::function<void(const refusal&)> refuse;
        std::function<void(const recorded_answer&)> replay;
    };

    request_filter() = default;
    request_filter(const request_filter&) = delete;
    request_filter& operator=(const request_filter&) = delete;
    virtual ~request_filter() = default;

    virtual void admit(const std::shared_ptr<request_flow>& flow,
                       const filter_callbacks& callbacks) = 0;
    /// Releases the resources that `admit` acquired, if any. Called once for each call of `admit`,
    /// even if it refused the request or had not decided when the request ended.
    virtual void finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result);
};

}  // namespace fuchsiaquay
