#include "main/node.hpp"

#include <cpprest/http_msg.h>

#include <utility>
#include <variant>

#include "drivers/api/http_reply.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/log/log4cxx_decision_log.hpp"
#include "main/control_plane.hpp"
#include "main/message_router.hpp"
#include "main/node_administration.hpp"
#include "main/node_settings.hpp"
#include "main/request_plane.hpp"
#include "servers/reservation/reserve_filter.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
/// A node becomes ready without upstreams after this time, as a fleet may start before its first
/// upstream.
constexpr duration upstream_wait_limit = std::chrono::seconds(3);
constexpr duration drain_check_period = std::chrono::milliseconds(100);
/// Time limit for writing the last outcomes to the journal.
constexpr duration journal_drain_limit = std::chrono::seconds(10);
/// Time for the sockets to send the last responses after their requests have ended.
constexpr duration flush_time = std::chrono::milliseconds(500);

}  // namespace

node::node(const node_settings& settings, control_loop& loop, log4cxx_decision_log& log,
           std::function<void()> stop)
    : loop_(loop),
      log_(log),
      min_drain_time_(settings.gossip_delay + settings.directory_lifetime),
      drain_timeout_(settings.drain_timeout),
      request_stop_(std::move(stop)),
      started_at_(loop.now()) {
    const auto incarnation = static_cast<std::uint64_t>(system_wall_clock().unix_ms());
    control_ = std::make_unique<control_plane>(settings, incarnation, loop, log);
    requests_ = std::make_unique<request_plane>(settings, incarnation, loop, log, *control_);
    route_messages();
    add_health_routes();
    administration_ = std::make_unique<node_administration>(
        settings, loop, log, *control_, *requests_, [this] { request_stop_(); });
    requests_->server().open();
    log_.write(decision_log::level::info, "started",
               {{"address", settings.address},
                {"http_port", std::to_string(settings.http_port)},
                {"peer_port", std::to_string(settings.peer_port)},
                {"data_centre", settings.data_centre}});
}

node::~node() {
    requests_->server().close();
}

void node::route_messages() {
    control_->transport().on_message([this](const host_id& sender, const peer_message& message) {
        std::visit(message_router{sender, *control_, *requests_}, message);
    });
}

void node::add_health_routes() {
    requests_->server().route("/healthz", [](const web::http::http_request& message) {
        reply_json(message, status_ok, R"({"status":"alive"})");
    });
    requests_->server().route("/metrics", [this](const web::http::http_request& message) {
        loop_.post([this, message] {
            reply_body(message, status_ok, "text/plain; version=0.0.4",
                       requests_->metrics().prometheus_text(administration_->status_values()));
        });
    });
    requests_->server().route("/readyz", [this](const web::http::http_request& message) {
        loop_.post([this, message] {
            const bool ready = this->ready();
            reply_json(message, ready ? status_ok : status_unavailable,
                       ready ? R"({"status":"ready"})" : R"({"status":"not ready"})");
        });
    });
}

bool node::ready() const {
    const bool in_membership = !control_->hosts().live_hosts().empty();
    const bool knows_upstreams =
        !control_->upstreams().all().empty() || loop_.now() - started_at_ > upstream_wait_limit;
    return control_->contracts().ready() && in_membership && knows_upstreams && !on_drained_;
}

void node::drain(std::function<void()> done) {
    if (on_drained_) {
        return;
    }
    on_drained_ = std::move(done);
    control_->members().leave();
    min_drain_end_ = loop_.now() + min_drain_time_;
    max_drain_end_ = min_drain_end_ + drain_timeout_;
    log_.write(decision_log::level::info, "drain_started",
               {{"requests", std::to_string(requests_->pipeline().active())}});
    loop_.every(drain_check_period, [this] { finish_when_idle(); });
}

void node::finish_when_idle() {
    const instant now = loop_.now();
    const bool idle = now >= min_drain_end_ && requests_->pipeline().active() == 0;
    if (!on_drained_ || (!idle && now < max_drain_end_)) {
        return;
    }
    log_.write(decision_log::level::info, "drain_finished",
               {{"requests", std::to_string(requests_->pipeline().active())}});
    auto done = std::exchange(on_drained_, nullptr);
    const auto finish = [this, done] {
        control_->members().stop();
        done();
    };
    loop_.after(flush_time, [this, finish] { control_->journal().drain(finish); });
    // Without the store, the last outcomes cannot be written and are reported as "may have run".
    loop_.after(flush_time + journal_drain_limit, finish);
}

}  // namespace fuchsiaquay
