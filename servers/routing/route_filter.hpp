#pragma once

#include <map>

#include "core/identity/names.hpp"
#include "servers/requests/request_filter.hpp"

namespace fuchsiaquay {

class decision_log;
class engine_router;
class timer_service;
class upstream_view;

/// Chooses the upstreams for an attempt: engines ordered by score, or the replica of a plain
/// service with the fewest calls from this host. Writes one log line for each decision.
class route_filter final : public request_filter {
public:
    route_filter(timer_service& timers, decision_log& log, const upstream_view& upstreams,
                 engine_router& router);

    void admit(const std::shared_ptr<request_flow>& flow,
               const filter_callbacks& callbacks) override;
    void finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result) override;

private:
    void route_service(const std::shared_ptr<request_flow>& flow,
                       const filter_callbacks& callbacks);
    void route_completion(const std::shared_ptr<request_flow>& flow,
                          const filter_callbacks& callbacks);
    void log_choices(const request_flow& flow) const;

    timer_service& timers_;
    decision_log& log_;
    const upstream_view& upstreams_;
    engine_router& router_;
    std::map<upstream_id, int> service_calls_;
};

}  // namespace fuchsiaquay
