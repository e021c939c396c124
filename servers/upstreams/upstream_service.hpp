#pragma once

#include <functional>
#include <set>
#include <vector>

#include "core/upstreams/polled_upstreams.hpp"
#include "core/upstreams/upstream_catalogue.hpp"
#include "servers/timer_service.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

class decision_log;
class host_list_source;
class membership_service;
class peer_transport;

/// The upstreams on this node. Two hosts of each data centre, elected by rendezvous hash, read the
/// host list and send what changed to the others, so that reads do not grow with the fleet.
class upstream_service final : public upstream_view {
public:
    using observer = std::function<void()>;

    /// The services outlive this object.
    upstream_service(timer_service& timers, peer_transport& transport, decision_log& log,
                     const membership_service& members, host_list_source& list,
                     duration poll_period);
    ~upstream_service() override;
    upstream_service(const upstream_service&) = delete;
    upstream_service& operator=(const upstream_service&) = delete;

    /// Takes an update, or the request of a peer, from the transport.
    void receive(const host_id& sender, const upstream_update& message);
    /// Replaces what operators decided; takes effect at the pollers, see `is_poller`.
    void set_overrides(std::vector<upstream_override> overrides);
    /// Calls `changed` after each change of the catalogue.
    void on_change(observer changed) { observers_.push_back(std::move(changed)); }
    /// True while this host reads the list for its data centre.
    bool is_poller() const noexcept { return poller_; }

    std::vector<upstream> all() const override;
    std::optional<upstream> find(const upstream_id& id) const override;

private:
    void poll();
    void elect();
    void remind();
    void publish();
    void inform_new_hosts();
    void send_complete(const host_id& to);
    void broadcast(const upstream_update& update);
    void send(const host_id& to, const upstream_update& update);
    void apply(const host_id& poller, const upstream_update& update);
    void notify();

    timer_service& timers_;
    peer_transport& transport_;
    decision_log& log_;
    const membership_service& members_;
    host_list_source& list_;
    polled_upstreams polled_;
    upstream_catalogue catalogue_;
    std::vector<observer> observers_;
    std::vector<host_id> pollers_;
    std::set<host_id> informed_;
    timer_service::subscription poll_timer_ = 0;
    timer_service::subscription remind_timer_ = 0;
    bool poller_ = false;
    bool reading_ = false;
    bool listed_ = false;
};

}  // namespace fuchsiaquay
