#pragma once

#include <map>
#include <memory>

#include "core/identity/names.hpp"
#include "core/routing/reservation_settings.hpp"
#include "servers/requests/request_filter.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class decision_log;
class engine_router;
class host_view;
class reservation_sender;
class upstream_view;
struct grant_renewal;
struct reserve_reply;
struct routing_actions;
struct routing_outcome;

/// Reserves memory and a place in the queue at the owner of an engine, renews the grant while the
/// attempt runs and always releases it at the end. Used on the control thread.
class reserve_filter final : public request_filter {
public:
    /// References must outlive the filter.
    reserve_filter(timer_service& timers, decision_log& log, const host_view& hosts,
                   const upstream_view& upstreams, engine_router& router,
                   reservation_sender& sender, reservation_settings settings);
    reserve_filter(const reserve_filter&) = delete;
    reserve_filter& operator=(const reserve_filter&) = delete;
    ~reserve_filter() override;

    void admit(const std::shared_ptr<request_flow>& flow,
               const filter_callbacks& callbacks) override;
    void finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result) override;

    /// Handles an owner's reply, from a peer or from this host.
    void on_reply(const reserve_reply& reply);

private:
    struct entry;

    void start(const std::shared_ptr<entry>& item);
    void retry_later(const std::shared_ptr<entry>& item);
    std::shared_ptr<entry> find(const request_id& reservation) const;
    void execute(const std::shared_ptr<entry>& item, const routing_actions& actions);
    void handle_outcome(const std::shared_ptr<entry>& item, const routing_outcome& outcome);
    bool make_plan(entry& item) const;
    void tick();
    void renew_grants();
    void update_queued(entry& item, const reserve_reply& reply);
    /// Repeats requests that wait in a queue, because the owner may have changed. Idempotent at an
    /// owner that already has them.
    void resend_queued();

    timer_service& timers_;
    decision_log& log_;
    const host_view& hosts_;
    const upstream_view& upstreams_;
    engine_router& router_;
    reservation_sender& sender_;
    reservation_settings settings_;
    std::map<request_id, std::shared_ptr<entry>> entries_;
    timer_service::subscription tick_timer_;
    timer_service::subscription renew_timer_;
};

}  // namespace fuchsiaquay
