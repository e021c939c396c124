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

/// Maintains this node's catalogue of upstreams. In each data centre two hosts, elected by
/// rendezvous hashing, read the host list and send changes to the other hosts, so that the number
/// of reads does not grow with the fleet.
class upstream_service final : public upstream_view {
public:
    using observer = std::function<void()>;

    /// The referenced services must outlive this object.
    upstream_service(timer_service& timers, peer_transport& transport, decision_log& log,
                     const membership_service& members, host_list_source& list,
                     duration poll_period);
    ~upstream_service() override;
    upstream_service(const upstream_service&) = delete;
    upstream_service& operator=(const upstream_service&) = delete;

    /// Handles an update or a request from a peer.
    void receive(const host_id& sender, const upstream_update& message);
    /// Replaces the overrides set by operators. They take effect on the pollers, see `is_poller`.
    void set_overrides(std::vector<upstream_override> overrides);
    /// Calls `changed` after each change of the catalogue.
    void on_change(observer changed) { observers_.push_back(std::move(changed)); }
    /// True while this host reads the host list for its data centre.
    bool is_poller() const noexcept { return is_poller_; }

    std::vector<upstream> all() const override;
    std::optional<upstream> find(const upstream_id& id) const override;

private:
    void poll();
    void elect_pollers();
    void send_reminder();
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
    host_list_source& list_source_;
    polled_upstreams polled_;
    upstream_catalogue catalogue_;
    std::vector<observer> observers_;
    std::vector<host_id> pollers_;
    std::set<host_id> informed_hosts_;
    timer_service::subscription poll_timer_ = 0;
    timer_service::subscription reminder_timer_ = 0;
    bool is_poller_ = false;
    bool read_pending_ = false;
    bool has_list_ = false;
};

}  // namespace fuchsiaquay
