#pragma once

/// @file
/// Includes cpprestsdk headers; include this file in drivers/api only.

#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/request/attempt_result.hpp"
#include "core/request/dispatch_plan.hpp"
#include "drivers/api/api_services.hpp"
#include "drivers/api/completion_body.hpp"
#include "drivers/api/completion_formatter.hpp"
#include "drivers/engine/engine_call_listener.hpp"
#include "servers/requests/request_listener.hpp"

namespace fuchsiaquay {

class engine_call;
class group_prefill;
class request_flow;
struct engine_request;

/// Serves one completion request: relays tokens from engines to the caller, over several attempts
/// if needed, and reports the end of each attempt to the pipeline.
class completion_session final : public request_listener,
                                 public engine_call_listener,
                                 public std::enable_shared_from_this<completion_session> {
public:
    completion_session(const api_services& services, const web::http::http_request& message,
                       completion_body body, completion_formatter format);
    completion_session(const completion_session&) = delete;
    completion_session& operator=(const completion_session&) = delete;
    ~completion_session() override;

    /// Passes the request to the pipeline on the control thread.
    void begin(const std::shared_ptr<request_flow>& flow);

    void dispatch(const dispatch_plan& plan) override;
    void refuse(const refusal& reason) override;
    void replay(const recorded_answer& answer) override;

    void on_tokens(const std::vector<token_event>& events) override;
    void on_end(const engine_outcome& outcome) override;

    /// Writes a comment if nothing was written to the stream for `keep_alive_period`.
    /// @return false when the session has ended
    bool keep_alive(instant now);

private:
    void start_call(const dispatch_plan& plan);
    /// Called when all parts of the group prefill are done (`failure` is empty) or one has failed.
    void on_group_prefill_end(const engine_request& request, const std::string& failure,
                              const upstream_id& failed_upstream);
    void report_end(const engine_outcome& outcome, const upstream_id& failed_upstream);
    void release_group();
    void record_token_times(std::int64_t tokens);
    void open_stream();
    void write(const std::string& text);
    void finish_response(const engine_outcome& outcome);
    void close_stream();
    void on_caller_disconnected();

    api_services services_;
    web::http::http_request message_;
    completion_body body_;
    completion_formatter format_;
    std::shared_ptr<request_flow> flow_;

    std::mutex mutex_;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer_;
    std::shared_ptr<engine_call> call_;
    std::shared_ptr<group_prefill> group_;
    bool stream_open_ = false;
    bool dispatched_ = false;
    bool ended_ = false;
    instant last_write_{};
    instant last_token_time_{};
    int level_ = 0;
    std::string collected_text_;
    std::string finish_reason_;
    std::int64_t total_tokens_ = 0;
    std::int64_t attempt_tokens_ = 0;
};

}  // namespace fuchsiaquay
