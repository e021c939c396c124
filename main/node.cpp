#include "main/node.hpp"

#include <cpprest/http_msg.h>

#include <utility>
#include <variant>

#include "drivers/api/http_answer.hpp"
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
/// A fleet may start before its first upstream.
constexpr duration upstream_patience = std::chrono::seconds(3);
constexpr duration drain_check_period = std::chrono::milliseconds(100);
/// Time for the last answers to leave the sockets after their requests have ended.
/// Longest wait for the last outcomes to be durable in the journal.
constexpr duration journal_drain_limit = std::chrono::seconds(10);
constexpr duration flush_time = std::chrono::milliseconds(500);

}  // namespace

node::node(const node_settings& settings, control_loop& loop, log4cxx_decision_log& log,
           std::function<void()> stop)
    : loop_(loop),
      log_(log),
      drain_time_(settings.gossip_delay + settings.directory_lifetime),
      drain_timeout_(settings.drain_timeout),
      stop_(std::move(stop)),
      started_at_(loop.now()) {
    const auto incarnation = static_cast<std::uint64_t>(system_wall_clock().unix_ms());
    control_ = std::make_unique<control_plane>(settings, incarnation, loop, log);
    requests_ = std::make_unique<request_plane>(settings, incarnation, loop, log, *control_);
    route_messages();
    add_health_routes();
    administration_ = std::make_unique<node_administration>(settings, loop, log, *control_,
                                                            *requests_, [this] { stop_(); });
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
    const bool listed = !control_->hosts().live_hosts().empty();
    const bool knows_upstreams =
        !control_->upstreams().all().empty() || loop_.now() - started_at_ > upstream_patience;
    return control_->contracts().ready() && listed && knows_upstreams && !drained_;
}

void node::drain(std::function<void()> done) {
    if (drained_) {
        return;
    }
    drained_ = std::move(done);
    control_->members().leave();
    drain_until_ = loop_.now() + drain_time_;
    drain_limit_ = drain_until_ + drain_timeout_;
    log_.write(decision_log::level::info, "drain_started",
               {{"requests", std::to_string(requests_->pipeline().active())}});
    loop_.every(drain_check_period, [this] { finish_when_idle(); });
}

void node::finish_when_idle() {
    const instant now = loop_.now();
    const bool idle = now >= drain_until_ && requests_->pipeline().active() == 0;
    if (!drained_ || (!idle && now < drain_limit_)) {
        return;
    }
    log_.write(decision_log::level::info, "drain_finished",
               {{"requests", std::to_string(requests_->pipeline().active())}});
    auto done = std::exchange(drained_, nullptr);
    const auto finish = [this, done] {
        control_->members().stop();
        done();
    };
    loop_.after(flush_time, [this, finish] { control_->journal().drain(finish); });
    // With the store out the last outcomes cannot be written; they read as "may have run".
    loop_.after(flush_time + journal_drain_limit, finish);
}

}  // namespace fuchsiaquay
