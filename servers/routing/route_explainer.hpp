#pragma once

#include "servers/admin/request_explainer.hpp"

namespace fuchsiaquay {

class contract_view;
class engine_router;
class owner_locator;
class timer_service;
class upstream_view;

/// Explains how a request would be routed. Uses the same router that places requests, but reserves
/// and sends nothing.
class route_explainer final : public request_explainer {
public:
    route_explainer(timer_service& timers, const contract_view& contracts,
                    const upstream_view& upstreams, const owner_locator& owners,
                    engine_router& router);

    void explain(const explain_request& request,
                 const std::function<void(const explanation&)>& done) override;

private:
    explanation explain_now(const explain_request& request) const;

    timer_service& timers_;
    const contract_view& contracts_;
    const upstream_view& upstreams_;
    const owner_locator& owners_;
    engine_router& router_;
};

}  // namespace fuchsiaquay
