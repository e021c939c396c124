#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace fuchsiaquay {

/// Outcome of opening a connection to an upstream. `socket` is null on failure.
struct dial_result {
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    std::string failure;
    /// Nothing listens at the address of the upstream.
    bool refused = false;
};

}  // namespace fuchsiaquay
