#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// A connection to an upstream. `socket` is null if there is none.
struct upstream_connection {
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    /// The host through whose tunnel the connection leads; absent if it is direct.
    std::optional<network_address> peer;
};

}  // namespace fuchsiaquay
