#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>

#include "drivers/net/leading_host.hpp"

namespace fuchsiaquay {

/// A connection to an upstream. `socket` is null if there is none.
struct upstream_connection {
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    /// Absent if the connection is direct.
    std::optional<leading_host> peer;
};

}  // namespace fuchsiaquay
