#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "core/fleet/network_address.hpp"
#include "drivers/net/http_call.hpp"
#include "drivers/net/http_result.hpp"

namespace fuchsiaquay {

class control_loop;
class upstream_dialer;

/// Persistent connection to one HTTP server. Calls are sent one at a time, in order. A call that
/// times out closes the connection; the next call opens a new one.
class http_channel {
public:
    using handler = std::function<void(const http_result&)>;

    /// A page of the store holds about one megabyte before it is encoded.
    static constexpr std::size_t default_max_response_bytes = 16'777'216;

    /// @param max_response_bytes  a longer response body fails its call
    /// @param dialer  opens the connections to an upstream; null for other servers
    http_channel(control_loop& loop, network_address server,
                 std::size_t max_response_bytes = default_max_response_bytes,
                 upstream_dialer* dialer = nullptr);
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
