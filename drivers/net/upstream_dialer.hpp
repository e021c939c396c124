#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/fleet/network_address.hpp"
#include "core/relay/upstream_path.hpp"
#include "core/time/clock.hpp"
#include "drivers/net/dial_result.hpp"
#include "drivers/net/leading_host.hpp"

namespace fuchsiaquay {

class control_loop;
class decision_log;
class upstream_dial;

/// Opens connections to upstreams. While this host does not reach them, connections lead through
/// tunnels of other hosts, and single connections are tried to find out when it does again.
class upstream_dialer {
public:
    using handler = std::function<void(dial_result)>;
    using address_source = std::function<std::vector<network_address>()>;

    upstream_dialer(control_loop& loop, decision_log& log);
    upstream_dialer(const upstream_dialer&) = delete;
    upstream_dialer& operator=(const upstream_dialer&) = delete;
    ~upstream_dialer();

    /// Sets the source of the addresses of all listed upstreams.
    void set_upstreams(address_source upstreams) { upstreams_ = std::move(upstreams); }
    /// Sets the source of the tunnel addresses of other hosts, in order of preference.
    void set_peers(address_source peers) { peers_ = std::move(peers); }
    /// Sets the handler that is called when the path to the upstreams is blocked or free again.
    void on_path_changed(std::function<void()> changed) { path_changed_ = std::move(changed); }

    /// Calls `done` once unless the returned object is cancelled before.
    /// @throws boost::system::system_error  the address is no IP number
    std::shared_ptr<upstream_dial> dial(const network_address& upstream, duration timeout,
                                        handler done);
    /// The same without tunnels.
    std::shared_ptr<upstream_dial> dial_directly(const network_address& upstream, duration timeout,
                                                 handler done);

    /// The same on the way that an earlier connection took: without tunnels, or through that of
    /// the same process of `peer`.
    std::shared_ptr<upstream_dial> dial_same_way(const network_address& upstream,
                                                 const std::optional<leading_host>& peer,
                                                 duration timeout, handler done);

    bool blocked() const noexcept { return path_.blocked(); }
    /// Whether the path is blocked or may be.
    bool in_doubt() const;
    /// Connections through other hosts so far.
    std::uint64_t tunnelled() const noexcept { return tunnelled_; }

    /// Records how a connection without the help of another host ended.
    void record_direct(const network_address& upstream, bool connected);

private:
    friend class upstream_dial;

    void probe_doubtful();
    /// Plans the next connection that shows whether the blocked path is free again.
    void plan_probe();
    void probe_next();
    void probe(const network_address& upstream);
    void report_change();
    void record_tunnel(const network_address& peer);
    /// The hosts whose tunnels may be tried now, first the one whose tunnel was used last.
    std::vector<network_address> usable_peers() const;
    /// Records that a host does not help.
    void avoid_peer(const network_address& peer);
    /// Records that an upstream did not answer through a host. The fault is the upstream's if the
    /// host has helped lately.
    void doubt_peer(const network_address& peer);

    control_loop& loop_;
    decision_log& log_;
    address_source upstreams_;
    address_source peers_;
    std::function<void()> path_changed_;
    upstream_path path_;
    bool reported_blocked_ = false;
    instant blocked_since_{};
    std::size_t next_probe_ = 0;
    std::map<network_address, std::shared_ptr<upstream_dial>> probes_;
    /// Hosts whose tunnels are not used until the given time.
    std::map<network_address, instant> avoided_peers_;
    std::optional<network_address> last_peer_;
    instant helped_at_{};
    std::uint64_t tunnelled_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace fuchsiaquay
