#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/identity/names.hpp"
#include "core/scheduling/upstream_settings.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class decision_log;
class engine_admin;
class host_view;
class owner_locator;
class peer_transport;
class upstream_queue;
class upstream_view;
struct engine_report;
struct grant_release;
struct grant_renewal;
struct reserve_reply;
struct reserve_request;
struct scheduling_actions;
struct upstream;

/// Owner of the upstreams that fall to this host: runs their queues, compares their engines'
/// streams with the grants, cancels orphans. Used on the control thread.
class owner_service {
public:
    /// Receives replies meant for this host's own reservations.
    using local_reply = std::function<void(const reserve_reply&)>;

    /// References must outlive the service.
    /// @param defaults  settings of every queue but for name, owner and memory
    owner_service(timer_service& timers, decision_log& log, const host_view& hosts,
                  const upstream_view& upstreams, const owner_locator& owners,
                  peer_transport& transport, engine_admin& engines, upstream_settings defaults);
    owner_service(const owner_service&) = delete;
    owner_service& operator=(const owner_service&) = delete;
    ~owner_service();

    void on_local_reply(local_reply deliver) { deliver_ = std::move(deliver); }

    void reserve(const reserve_request& request);
    void release(const grant_release& release);
    void renew(const grant_renewal& renewal);

    /// Takes over and gives up upstreams after a change of hosts or upstreams.
    void refresh();
    /// Upstreams owned now.
    std::size_t owned() const noexcept { return queues_.size(); }
    /// Queue of an owned upstream; null for others.
    const upstream_queue* queue(const upstream_id& id) const;

private:
    struct owned_upstream;

    owned_upstream* find(const upstream_id& id);
    void add(const upstream& target);
    /// Ticks soon: work has come to an idle owner.
    void tick_soon();
    void tick();
    void recover_from_pause(duration gap);
    /// Marks streams whose granting owner cannot be reached from here.
    void mark_unreachable_issuers(engine_report& report) const;
    void poll_engines();
    void execute(const owned_upstream& owned, const scheduling_actions& actions);

    timer_service& timers_;
    decision_log& log_;
    const host_view& hosts_;
    const upstream_view& upstreams_;
    const owner_locator& owners_;
    peer_transport& transport_;
    engine_admin& engines_;
    upstream_settings defaults_;
    instant last_tick_;
    local_reply deliver_;
    std::map<upstream_id, std::unique_ptr<owned_upstream>> queues_;
    /// True while a queue has work, which needs quick ticks.
    bool busy_ = false;
    timer_service::subscription tick_timer_;
    timer_service::subscription poll_timer_;
    /// Upstreams are taken over without rebuilding only in the first refresh of a fresh fleet.
    std::uint64_t takeovers_ = 0;
};

}  // namespace fuchsiaquay
