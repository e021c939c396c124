#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <vector>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Pool of idle connections to upstreams, by process.
class upstream_connection_pool {
public:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    /// Returns an open connection without unread data, or null.
    socket_ptr acquire(const upstream_lifetime& upstream, instant now);
    /// Adds an idle connection to the pool, or closes it when the pool is full.
    /// @param usable_for  time before the upstream may close the idle connection
    void release(const upstream_lifetime& upstream, socket_ptr socket, instant now,
                 duration usable_for);
    /// Closes connections that the upstream may be about to close.
    void remove_expired(instant now);
    void clear() { idle_.clear(); }
    std::size_t size() const;

private:
    struct idle_connection {
        socket_ptr socket;
        instant usable_until{};
    };

    std::map<upstream_lifetime, std::vector<idle_connection>> idle_;
};

}  // namespace fuchsiaquay
