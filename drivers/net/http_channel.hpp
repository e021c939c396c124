#pragma once

#include <functional>
#include <memory>

#include "core/fleet/network_address.hpp"
#include "drivers/net/http_call.hpp"
#include "drivers/net/http_result.hpp"

namespace fuchsiaquay {

class control_loop;

/// A kept connection to one HTTP server. Calls go out one at a time, in order. A call that gets no
/// answer in time ends the connection, which is opened again for the next call.
class http_channel {
public:
    using handler = std::function<void(const http_result&)>;

    http_channel(control_loop& loop, network_address server);
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;
    ~http_channel();

    /// Calls `done` exactly once unless the channel is destroyed first.
    void send(http_call call, handler done);

private:
    class connection;

    std::shared_ptr<connection> connection_;
};

}  // namespace fuchsiaquay
