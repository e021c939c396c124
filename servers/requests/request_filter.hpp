#pragma once

#include <functional>
#include <memory>

namespace fuchsiaquay {

struct attempt_result;
struct recorded_answer;
struct refusal;
class request_flow;

/// One step of a request's way. Used on the control thread.
class request_filter {
public:
    /// How a filter goes on; exactly one of the three is called, once, now or later.
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
    /// Releases what `admit` took, if anything. Called once for each `admit`, also for one that
    /// refused or is still undecided when the request ends.
    virtual void finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result);
};

}  // namespace fuchsiaquay
