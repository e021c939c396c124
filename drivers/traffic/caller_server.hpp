#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/fleet/network_address.hpp"
#include "drivers/traffic/caller_services.hpp"

namespace fuchsiaquay {

/// HTTP server for requests of callers.
class caller_server {
public:
    /// Starts to listen.
    /// @throws operation_error  `address` cannot be bound
    caller_server(const caller_services& services, const network_address& address);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    ~caller_server();

    /// Closes connections that have no request and no answer on the way.
    void close_idle();
    std::size_t connections() const;
    /// Connections that were closed, or not accepted, because there were as many as allowed.
    std::uint64_t refused_connections() const;
    /// Requests that are being received or served, and answers that callers have not received.
    std::size_t active_requests() const;

private:
    class listener;

    std::shared_ptr<listener> listener_;
};

}  // namespace fuchsiaquay
