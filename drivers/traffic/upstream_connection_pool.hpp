#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Idle connections to upstreams, by upstream id.
class upstream_connection_pool {
public:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    /// A connection on which nothing is waiting; null when there is none.
    socket_ptr acquire(const std::string& upstream, instant now);
    /// @param usable_for  how long the upstream keeps the idle connection
    void release(const std::string& upstream, socket_ptr socket, instant now, duration usable_for);
    /// Closes connections that the upstream may be about to close.
    void remove_expired(instant now);
    std::size_t size() const;

private:
    struct idle_connection {
        socket_ptr socket;
        instant usable_until{};
    };

    std::map<std::string, std::vector<idle_connection>> idle_;
};

}  // namespace fuchsiaquay
