#pragma once

/// @file
/// Includes cpprestsdk headers; include this file in drivers/api only.

#include <cpprest/http_msg.h>

#include <memory>
#include <mutex>
#include <string>

#include "core/request/attempt_result.hpp"
#include "drivers/api/api_services.hpp"
#include "drivers/api/service_call.hpp"
#include "servers/requests/request_listener.hpp"

namespace fuchsiaquay {

class request_flow;

/// Forwards one call to a plain service and sends the response to the caller.
class service_session final : public request_listener,
                              public std::enable_shared_from_this<service_session> {
public:
    /// @param path  path and query at the service, starting with `/`
    service_session(const api_services& services, const web::http::http_request& message,
                    std::string path, std::string body);

    /// Passes the request to the pipeline on the control thread.
    void begin(const std::shared_ptr<request_flow>& flow);

    void dispatch(const dispatch_plan& plan) override;
    void refuse(const refusal& reason) override;
    void replay(const recorded_answer& answer) override;

private:
    void start_call(const dispatch_plan& plan);
    /// Returns false if the session has ended meanwhile.
    bool keep_call(const std::shared_ptr<service_call>& started);
    void cancel_call();
    void on_answer(const service_call::result& answer);
    void report(const attempt_result& result);
    /// Marks the session as ended. Returns true on the first call only; the caller of that one
    /// may send the response.
    bool try_end();

    api_services services_;
    web::http::http_request message_;
    std::string path_;
    std::string body_;
    std::shared_ptr<request_flow> flow_;

    std::mutex mutex_;
    std::shared_ptr<service_call> call_;
    bool ended_ = false;
};

}  // namespace fuchsiaquay
