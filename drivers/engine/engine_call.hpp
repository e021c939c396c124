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

/// One streamed completion at an engine. Safe from any thread.
class engine_call : public std::enable_shared_from_this<engine_call> {
public:
    engine_call(const engine_request& request, std::shared_ptr<engine_call_listener> listener);
    engine_call(const engine_call&) = delete;
    engine_call& operator=(const engine_call&) = delete;
    ~engine_call();

    /// Sends the request over `client`; call once.
    void start(const std::shared_ptr<web::http::client::http_client>& client);
    /// Ends the call; the listener hears "cancelled" unless it has heard its end already.
    void cancel();
    /// Ends the call as "stalled" when its timer has run out.
    /// @return true when it has ended and need not be checked again
    bool check_timeout(instant now);

    /// True when the connection must not be used again.
    bool must_drop_connection() const;
    const engine_request& request() const noexcept { return request_; }

private:
    class state;

    void accept(const std::string& piece);
    /// Asks the engine to cancel the stream. Best effort.
    void free_stream();
    void finish(const engine_outcome& outcome);
    void fail(const std::string& failure);

    engine_request request_;
    std::unique_ptr<state> state_;
};

}  // namespace fuchsiaquay
