#pragma once

#include <memory>

#include "core/scheduling/upstream_settings.hpp"
#include "drivers/api/api_limits.hpp"
#include "drivers/engine/engine_client.hpp"
#include "drivers/engine/http_engine_admin.hpp"
#include "drivers/http/client_pool.hpp"
#include "drivers/http/http_server.hpp"
#include "drivers/metrics/histogram_metrics.hpp"
#include "servers/directory/rendezvous_entrypoints.hpp"
#include "servers/requests/budgeted_retry_rules.hpp"
#include "servers/requests/request_pipeline.hpp"
#include "servers/reservation/owner_service.hpp"
#include "servers/reservation/reservation_sender.hpp"
#include "servers/routing/engine_router.hpp"

namespace fuchsiaquay {

class caller_api;
class control_loop;
class control_plane;
class decision_log;
class reserve_filter;
struct node_settings;

/// Components that process requests: HTTP server, filters, reservations and engine clients.
class request_plane {
public:
    request_plane(const node_settings& settings, std::uint64_t incarnation, control_loop& loop,
                  decision_log& log, control_plane& control);
    request_plane(const request_plane&) = delete;
    request_plane& operator=(const request_plane&) = delete;
    ~request_plane();

    http_server& server() { return server_; }
    request_pipeline& pipeline() { return *pipeline_; }
    owner_service& owner() { return owner_; }
    engine_router& router() { return router_; }
    const histogram_metrics& metrics() const { return metrics_; }
    reserve_filter& reservations() { return *reserve_filter_; }

private:
    std::unique_ptr<request_pipeline> make_pipeline(const node_settings& settings,
                                                    control_loop& loop, decision_log& log,
                                                    control_plane& control);

    api_limits limits_;
    histogram_metrics metrics_;
    client_pool clients_;
    engine_client engines_;
    http_engine_admin engine_admin_;
    owner_service owner_;
    reservation_sender reservation_sender_;
    engine_router router_;
    budgeted_retry_rules retries_;
    /// Owned by the pipeline.
    reserve_filter* reserve_filter_ = nullptr;
    std::unique_ptr<request_pipeline> pipeline_;
    rendezvous_entrypoints entrypoints_;
    std::shared_ptr<caller_api> caller_api_;
    http_server server_;
};

}  // namespace fuchsiaquay
