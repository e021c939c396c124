#pragma once

#include <memory>
#include <vector>

#include "core/health/upstream_health.hpp"
#include "core/identity/names.hpp"
#include "core/routing/output_estimator.hpp"
#include "core/routing/prefix_index.hpp"
#include "core/routing/routing_request.hpp"
#include "core/routing/scored_candidate.hpp"
#include "core/routing/upstream_loads.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

class request_flow;
class upstream_selector;
class upstream_view;
struct attempt_result;
struct reserve_reply;

/// Tracks what this host knows about the load, caches and health of engines, and determines the
/// order in which it tries them.
class engine_router {
public:
    /// @param tokens_per_second  rate at which known load is assumed to decrease
    engine_router(const upstream_view& upstreams, std::unique_ptr<upstream_selector> selector,
                  double tokens_per_second);
    engine_router(const engine_router&) = delete;
    engine_router& operator=(const engine_router&) = delete;
    ~engine_router();

    /// Creates the routing request that the selector uses for `flow`.
    routing_request make_routing_request(const request_flow& flow, instant now) const;
    /// Returns the engines that serve the model and have not failed this request, best first.
    std::vector<scored_candidate> order_engines(const request_flow& flow,
                                                const routing_request& request, instant now);

    void observe(const reserve_reply& reply, instant now);
    void attempt_started(const request_flow& flow, instant now);
    void attempt_ended(const request_flow& flow, const attempt_result& result, instant now);
    /// Returns false while the circuit breaker of the upstream is open.
    bool accepts_requests(const upstream_id& id, instant now) const {
        return health_.allows(id, now);
    }
    /// Record for the circuit breaker that an attempt is being sent, and how it ended.
    void record_sent(const upstream_id& id, instant now) { health_.on_sent(id, now); }
    void record_result(const upstream_id& id, const attempt_result& result, instant now);
    const output_estimator& estimator() const noexcept { return estimator_; }

private:
    const upstream_view& upstreams_;
    std::unique_ptr<upstream_selector> selector_;
    upstream_loads loads_;
    prefix_index prefixes_;
    output_estimator estimator_;
    upstream_health health_;
};

}  // namespace fuchsiaquay
