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

/// Manages the upstreams that this host owns: runs their queues, compares the streams of their
/// engines with the grants and cancels orphaned streams. Used on the control thread.
class owner_service {
public:
    /// Receives replies to this host's own reservation requests.
    using local_reply = std::function<void(const reserve_reply&)>;

    /// References must outlive the service.
    /// @param defaults  settings of every queue, except for upstream, owner, incarnation and memory
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

    /// Updates the set of owned upstreams after a change of hosts or upstreams.
    void refresh();
    /// Number of upstreams that this host owns.
    std::size_t owned() const noexcept { return queues_.size(); }
    /// Returns the queue of an owned upstream, or null if this host does not own it.
    const upstream_queue* queue(const upstream_id& id) const;

private:
    struct owned_upstream;

    owned_upstream* find(const upstream_id& id);
    void add(const upstream& target);
    /// Schedules the next tick early, because an idle owner received work.
    void tick_soon();
    void tick();
    void recover_from_pause(duration gap);
    /// Marks streams whose grants were issued by a host that is not among the live hosts.
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
    /// True while a queue has work, which requires frequent ticks.
    bool busy_ = false;
    timer_service::subscription tick_timer_;
    timer_service::subscription poll_timer_;
    /// Number of upstreams taken over since startup. Part of the incarnation of each queue.
    std::uint64_t takeovers_ = 0;
};

}  // namespace fuchsiaquay
