#pragma once

#include <cstddef>
#include <map>

#include "core/fleet/network_address.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Tells a host that is cut off from all upstreams from upstreams that fail by themselves: the path
/// counts as blocked once connections to several different upstreams have failed in a row without
/// one that was established.
class upstream_path {
public:
    /// @param upstreams  number of different addresses that are listed
    void set_upstreams(std::size_t upstreams) { upstreams_ = upstreams; }
    /// Records that a connection was established without the help of another host.
    void on_connected();
    /// Records that a connection to `upstream` was refused, or not answered in time.
    void on_failed(const network_address& upstream, instant now);

    bool blocked() const noexcept { return blocked_; }
    /// Whether so many upstreams have failed that others should be tried to find out about the
    /// path.
    bool in_doubt(instant now) const;
    /// Whether `upstream` has failed lately.
    bool failed(const network_address& upstream, instant now) const;

private:
    std::size_t recent_failures(instant now) const;

    std::size_t upstreams_ = 0;
    /// Latest failure of each upstream since the last established connection.
    std::map<network_address, instant> failures_;
    bool blocked_ = false;
};

}  // namespace fuchsiaquay
