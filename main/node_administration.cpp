#include "main/node_administration.hpp"

#include <ctime>

#include "drivers/admin/admin_endpoint.hpp"
#include "drivers/admin/admin_services.hpp"
#include "drivers/control/control_loop.hpp"
#include "main/control_plane.hpp"
#include "main/node_settings.hpp"
#include "main/request_plane.hpp"

namespace fuchsiaquay {

namespace {

/// Processor time used by all threads of this process.
double cpu_seconds() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    constexpr double nanoseconds_per_second = 1e9;
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) / nanoseconds_per_second;
}

}  // namespace

node_administration::node_administration(const node_settings& settings, control_loop& loop,
                                         decision_log& log, control_plane& control,
                                         request_plane& requests, std::function<void()> start_drain)
    : control_(control),
      requests_(requests),
      start_drain_(std::move(start_drain)),
      explainer_(loop, control.contracts(), control.upstreams(), control.hosts(),
                 requests.router()),
      api_(admin_services{control.registry(), control.editor(), control.store(), loop,
                          control.clock(), control.hosts(), control.upstreams(), control.limits(),
                          explainer_, *this, log, settings.bootstrap_operator_digest}) {
    add_admin_route(requests.server(), loop, api_);
}

void node_administration::drain(const host_id& host, const done_handler& done) {
    if (host != control_.hosts().host().host) {
        done("ask the node itself: it alone can stop its process");
        return;
    }
    start_drain_();
    done("");
}

std::vector<std::pair<std::string, double>> node_administration::status_values() const {
    return {
        {"requests_active", static_cast<double>(requests_.pipeline().active())},
        {"upstreams_owned", static_cast<double>(requests_.owner().owned())},
        {"peer_bytes_sent_total", static_cast<double>(control_.transport().counters().bytes_sent)},
        {"peer_bytes_received_total",
         static_cast<double>(control_.transport().counters().bytes_received)},
        {"process_cpu_seconds_total", cpu_seconds()},
        {"store_calls_total", static_cast<double>(control_.store().call_count())},
        {"contract_revision", static_cast<double>(control_.registry().complete_revision())}};
}

}  // namespace fuchsiaquay
