#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

class control_loop;
class upstream_dialer;

/// Connects other hosts to upstreams that they do not reach themselves. Speaks the CONNECT method
/// of HTTP/1.1: 200 and then the bytes of the connection, 502 if the upstream refused it, 504 if it
/// did not answer, 403 if it may not be reached from here, and 503 if this host cannot help. An
/// answer with 200 names the process of this host.
class tunnel_server {
public:
    /// Decides on a request from the IP address `from`: the status that refuses it, or 200.
    using permission = std::function<int(const std::string& from, const network_address& upstream)>;

    /// Starts to listen.
    /// @throws operation_error  `address` cannot be bound
    tunnel_server(control_loop& loop, upstream_dialer& dialer, const network_address& address,
                  permission permit);
    tunnel_server(const tunnel_server&) = delete;
    tunnel_server& operator=(const tunnel_server&) = delete;
    ~tunnel_server();

    std::size_t open_tunnels() const;
    /// Tunnels opened so far.
    std::uint64_t opened() const;

private:
    class listener;

    std::shared_ptr<listener> listener_;
};

}  // namespace fuchsiaquay
