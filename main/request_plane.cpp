#include "main/request_plane.hpp"

#include <string>
#include <utility>

#include "core/routing/length_aware_selector.hpp"
#include "drivers/api/caller_api.hpp"
#include "drivers/control/control_loop.hpp"
#include "main/control_plane.hpp"
#include "main/node_settings.hpp"
#include "servers/limits/limit_filter.hpp"
#include "servers/requests/contract_filter.hpp"
#include "servers/requests/deduplicate_filter.hpp"
#include "servers/reservation/reserve_filter.hpp"
#include "servers/routing/route_filter.hpp"

namespace fuchsiaquay {

namespace {

constexpr duration sweep_period = std::chrono::milliseconds(100);

api_limits make_limits(const node_settings& settings) {
    api_limits limits;
    limits.max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
    limits.body_timeout = settings.body_timeout;
    limits.stall_timeout = settings.stall_timeout;
    return limits;
}

upstream_settings make_queue_defaults(const node_settings& settings) {
    upstream_settings defaults;
    defaults.tokens_per_second = static_cast<double>(settings.engine_tokens_per_second);
    return defaults;
}

directory_settings make_directory_settings(const node_settings& settings) {
    directory_settings result;
    result.max_age = settings.directory_lifetime;
    result.gossip_delay = settings.gossip_delay;
    return result;
}

std::unique_ptr<upstream_selector> make_selector(const node_settings& settings) {
    length_aware_settings options;
    options.tokens_per_second = static_cast<double>(settings.engine_tokens_per_second);
    return std::make_unique<length_aware_selector>(options);
}

}  // namespace

request_plane::request_plane(const node_settings& settings, std::uint64_t incarnation,
                             control_loop& loop, decision_log& log, control_plane& control)
    : limits_(make_limits(settings)),
      engines_(clients_),
      engine_admin_(loop, clients_),
      owner_(loop, log, control.hosts(), control.upstreams(), control.hosts(), control.transport(),
             engine_admin_, make_queue_defaults(settings)),
      reservation_sender_(control.hosts(), control.upstreams(), control.hosts(), owner_,
                          control.transport()),
      router_(control.upstreams(), make_selector(settings),
              static_cast<double>(settings.engine_tokens_per_second)),
      retries_(retry_settings(), settings.seed),
      pipeline_(make_pipeline(settings, loop, log, control)),
      entrypoints_(control.hosts(), make_directory_settings(settings)),
      server_(settings.address, settings.http_port) {
    const api_services services{loop,    *pipeline_,          engines_, clients_, metrics_,
                                limits_, settings.cluster_key};
    caller_api_ = std::make_shared<caller_api>(services, control.contracts(), entrypoints_,
                                               settings.host + "-" + std::to_string(incarnation));
    caller_api_->add_routes(server_);
    owner_.on_local_reply([this](const reserve_reply& reply) { reserve_filter_->on_reply(reply); });
    control.on_topology_change([this] { owner_.refresh(); });
    loop.every(sweep_period, [this, &loop] {
        engines_.end_stalled_calls(loop.now());
        caller_api_->keep_alive(loop.now());
    });
}

request_plane::~request_plane() = default;

std::unique_ptr<request_pipeline> request_plane::make_pipeline(const node_settings& /*settings*/,
                                                               control_loop& loop,
                                                               decision_log& log,
                                                               control_plane& control) {
    request_pipeline::filter_list request_filters;
    request_filters.push_back(std::make_unique<contract_filter>(control.contracts()));
    request_filters.push_back(std::make_unique<limit_filter>(loop, control.limits()));
    request_filters.push_back(std::make_unique<deduplicate_filter>(loop, control.journal()));
    request_pipeline::filter_list attempt_filters;
    attempt_filters.push_back(
        std::make_unique<route_filter>(loop, log, control.upstreams(), router_));
    auto reserve =
        std::make_unique<reserve_filter>(loop, log, control.hosts(), control.upstreams(), router_,
                                         reservation_sender_, reservation_settings());
    reserve_filter_ = reserve.get();
    attempt_filters.push_back(std::move(reserve));
    return std::make_unique<request_pipeline>(
        loop, log, metrics_, retries_, std::move(request_filters), std::move(attempt_filters));
}

}  // namespace fuchsiaquay
