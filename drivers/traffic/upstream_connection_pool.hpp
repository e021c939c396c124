#pragma once

#include <map>
#include <vector>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/time/clock.hpp"
#include "drivers/net/upstream_connection.hpp"

namespace fuchsiaquay {

/// Pool of idle connections to upstreams, by process.
class upstream_connection_pool {
public:
    /// Returns an open connection without unread data, or one without a socket.
    upstream_connection acquire(const upstream_lifetime& upstream, instant now);
    /// Adds an idle connection to the pool, or closes it when the pool is full.
    /// @param usable_for  time before the upstream may close the idle connection
    void release(const upstream_lifetime& upstream, upstream_connection connection, instant now,
                 duration usable_for);
    /// Closes connections that the upstream may be about to close.
    void remove_expired(instant now);
    void clear() { idle_.clear(); }
    std::size_t size() const;

private:
    struct idle_connection {
        upstream_connection connection;
        instant usable_until{};
    };

    std::map<upstream_lifetime, std::vector<idle_connection>> idle_;
};

}  // namespace fuchsiaquay
