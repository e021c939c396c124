#pragma once

#include <memory>
#include <string>

#include "core/time/clock.hpp"
#include "drivers/engine/engine_request.hpp"

namespace web::http::client {
class http_client;
}

namespace fuchsiaquay {

class engine_call_listener;
struct engine_outcome;

/// One streamed completion request to an engine. Thread-safe.
class engine_call : public std::enable_shared_from_this<engine_call> {
public:
    engine_call(const engine_request& request, std::shared_ptr<engine_call_listener> listener);
    engine_call(const engine_call&) = delete;
    engine_call& operator=(const engine_call&) = delete;
    ~engine_call();

    /// Sends the request over `client`. Call only once.
    void start(const std::shared_ptr<web::http::client::http_client>& client);
    /// Ends the call with the failure "cancelled", unless it has ended already.
    void cancel();
    /// Ends the call with the failure "stalled" if it has timed out.
    /// @return true if the call has ended and need not be checked again
    bool check_timeout(instant now);

    /// Whether the call ended in a way that makes its connection unusable.
    bool must_drop_connection() const;
    const engine_request& request() const noexcept { return request_; }

private:
    class state;

    void on_data(const std::string& bytes);
    /// Asks the engine to cancel the stream. A failure is ignored.
    void cancel_stream();
    void finish(const engine_outcome& outcome);
    void fail(const std::string& failure);

    engine_request request_;
    std::unique_ptr<state> state_;
};

}  // namespace fuchsiaquay
