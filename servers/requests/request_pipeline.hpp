#pragma once

#include <cstddef>
#include <memory>
#include <set>
#include <vector>

#include "core/request/attempt_result.hpp"
#include "core/request/refusal.hpp"

namespace fuchsiaquay {

class decision_log;
class request_metrics;
class request_filter;
class request_flow;
class retry_rules;
class timer_service;

/// Processes every request: runs the request filters once and the attempt filters for each attempt.
/// However a request ends, `finish` is called on exactly the filters whose `admit` was called. Used
/// on the control thread.
class request_pipeline {
public:
    using filter_list = std::vector<std::unique_ptr<request_filter>>;

    /// References must outlive the pipeline.
    request_pipeline(timer_service& timers, decision_log& log, request_metrics& metrics,
                     retry_rules& retries, filter_list request_filters,
                     filter_list attempt_filters);
    request_pipeline(const request_pipeline&) = delete;
    request_pipeline& operator=(const request_pipeline&) = delete;
    ~request_pipeline();

    /// Starts a request. Its listener is told the outcome.
    void begin(const std::shared_ptr<request_flow>& flow);
    /// Reports the end of an attempt that the listener started.
    void attempt_ended(const std::shared_ptr<request_flow>& flow, const attempt_result& result);
    /// Ends a request whose caller disconnected.
    void abandon(const std::shared_ptr<request_flow>& flow, const attempt_result& result);

    /// Number of requests that have not ended.
    std::size_t active() const noexcept { return active_.size(); }

private:
    void run_request_filters(const std::shared_ptr<request_flow>& flow, std::size_t index);
    void run_attempt_filters(const std::shared_ptr<request_flow>& flow, std::size_t index);
    void start_attempt(const std::shared_ptr<request_flow>& flow);
    void dispatch(const std::shared_ptr<request_flow>& flow);
    void start_deadline_timer(const std::shared_ptr<request_flow>& flow);
    void expire(const std::shared_ptr<request_flow>& flow);
    void refuse(const std::shared_ptr<request_flow>& flow, const refusal& reason);
    void finish_attempt_filters(const std::shared_ptr<request_flow>& flow,
                                const attempt_result& result);
    void end(const std::shared_ptr<request_flow>& flow, const attempt_result& result);

    timer_service& timers_;
    decision_log& log_;
    request_metrics& metrics_;
    retry_rules& retries_;
    filter_list request_filters_;
    filter_list attempt_filters_;
    std::set<std::shared_ptr<request_flow>> active_;
};

}  // namespace fuchsiaquay
