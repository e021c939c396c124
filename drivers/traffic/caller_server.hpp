#pragma once

#include <memory>

#include "core/fleet/network_address.hpp"
#include "drivers/traffic/caller_services.hpp"

namespace fuchsiaquay {

/// Listens for callers.
class caller_server {
public:
    /// Listens at once.
    /// @throws operation_error  the address cannot be listened at
    caller_server(const caller_services& services, const network_address& address);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    ~caller_server();

    /// Closes the connections that carry no request.
    void close_idle();
    std::size_t connections() const;
    /// Requests under way.
    std::size_t active_requests() const;

private:
    class listener;

    std::shared_ptr<listener> listener_;
};

}  // namespace fuchsiaquay
