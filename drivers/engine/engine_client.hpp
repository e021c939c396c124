#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

class client_pool;
class engine_call;
class engine_call_listener;
struct engine_request;

/// Starts completions at engines and ends those that stall. Thread-safe.
class engine_client {
public:
    /// @param clients  must outlive this object
    explicit engine_client(client_pool& clients);
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;
    ~engine_client();

    std::shared_ptr<engine_call> start(const engine_request& request,
                                       std::shared_ptr<engine_call_listener> listener);
    /// Ends calls that have timed out and drops their connections. Call periodically.
    void end_stalled_calls(instant now);

private:
    client_pool& clients_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<engine_call>> calls_;
};

}  // namespace fuchsiaquay
