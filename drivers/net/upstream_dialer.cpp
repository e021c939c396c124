#include "drivers/net/upstream_dialer.hpp"

#include <algorithm>
#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/net/upstream_dial.hpp"
#include "servers/decision_log.hpp"

namespace fuchsiaquay {

namespace {

/// Period of connections that show whether a blocked path is free again.
constexpr duration probe_period = std::chrono::milliseconds(500);
constexpr duration probe_timeout = std::chrono::milliseconds(400);
/// Connections at a time that show whether a path in doubt is blocked.
constexpr std::size_t max_probes = 6;
/// Time after which a host that had no path to an upstream is asked again.
constexpr duration peer_pause = std::chrono::seconds(1);

}  // namespace

upstream_dialer::upstream_dialer(control_loop& loop, decision_log& log) : loop_(loop), log_(log) {}

upstream_dialer::~upstream_dialer() = default;

std::shared_ptr<upstream_dial> upstream_dialer::dial(const network_address& upstream,
                                                     duration timeout, handler done) {
    auto result = std::make_shared<upstream_dial>(*this, upstream, std::move(done));
    result->start(timeout, false);
    return result;
}

std::shared_ptr<upstream_dial> upstream_dialer::dial_directly(const network_address& upstream,
                                                              duration timeout, handler done) {
    auto result = std::make_shared<upstream_dial>(*this, upstream, std::move(done));
    result->start(timeout, true);
    return result;
}

std::shared_ptr<upstream_dial> upstream_dialer::dial_same_way(
    const network_address& upstream, const std::optional<leading_host>& peer, duration timeout,
    handler done) {
    if (!peer) {
        return dial_directly(upstream, timeout, std::move(done));
    }
    auto result = std::make_shared<upstream_dial>(*this, upstream, std::move(done));
    result->start_through(*peer, timeout);
    return result;
}

void upstream_dialer::record_direct(const network_address& upstream, bool connected) {
    if (connected) {
        path_.on_connected();
    } else {
        path_.set_upstreams(upstreams_ ? upstreams_().size() : 0);
        path_.on_failed(upstream, loop_.now());
        probe_doubtful();
    }
    report_change();
}

bool upstream_dialer::in_doubt() const {
    return path_.blocked() || path_.in_doubt(loop_.now());
}

void upstream_dialer::plan_probe() {
    loop_.after(probe_period, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired() && path_.blocked()) {
            probe_next();
            plan_probe();
        }
    });
}

void upstream_dialer::probe_next() {
    const std::vector<network_address> upstreams = upstreams_();
    if (!upstreams.empty()) {
        probe(upstreams[next_probe_++ % upstreams.size()]);
    }
}

void upstream_dialer::probe_doubtful() {
    const instant now = loop_.now();
    if (!path_.in_doubt(now) || !upstreams_) {
        return;
    }
    for (const network_address& upstream : upstreams_()) {
        if (probes_.size() >= max_probes) {
            return;
        }
        if (!path_.failed(upstream, now)) {
            probe(upstream);
        }
    }
}

void upstream_dialer::probe(const network_address& upstream) {
    auto& known = probes_[upstream];
    if (known) {
        return;
    }
    // The result is recorded by the dial.
    known = std::make_shared<upstream_dial>(
        *this, upstream, [this, upstream](const dial_result& /*result*/) {
            loop_.post([this, upstream, alive = std::weak_ptr<int>(alive_)] {
                if (!alive.expired()) {
                    probes_.erase(upstream);
                }
            });
        });
    known->start(probe_timeout, true);
}

void upstream_dialer::report_change() {
    if (path_.blocked() == reported_blocked_) {
        return;
    }
    reported_blocked_ = path_.blocked();
    const instant now = loop_.now();
    if (reported_blocked_) {
        blocked_since_ = now;
        log_.write(decision_log::level::warning, "upstreams_unreachable",
                   {{"upstreams", std::to_string(upstreams_ ? upstreams_().size() : 0)},
                    {"peers", std::to_string(usable_peers().size())}});
        plan_probe();
    } else {
        log_.write(decision_log::level::info, "upstreams_reachable",
                   {{"after_ms", std::to_string(to_milliseconds(now - blocked_since_))},
                    {"tunnelled_total", std::to_string(tunnelled_)}});
    }
    if (path_changed_) {
        path_changed_();
    }
}

std::vector<network_address> upstream_dialer::usable_peers() const {
    std::vector<network_address> result = peers_ ? peers_() : std::vector<network_address>();
    const instant now = loop_.now();
    result.erase(std::remove_if(result.begin(), result.end(),
                                [this, now](const network_address& peer) {
                                    const auto found = avoided_peers_.find(peer);
                                    return found != avoided_peers_.end() && now < found->second;
                                }),
                 result.end());
    const auto last =
        last_peer_ ? std::find(result.begin(), result.end(), *last_peer_) : result.end();
    if (last != result.end()) {
        std::rotate(result.begin(), last, last + 1);
    }
    return result;
}

void upstream_dialer::record_tunnel(const network_address& peer) {
    last_peer_ = peer;
    helped_at_ = loop_.now();
    ++tunnelled_;
}

void upstream_dialer::avoid_peer(const network_address& peer) {
    avoided_peers_[peer] = loop_.now() + peer_pause;
}

void upstream_dialer::doubt_peer(const network_address& peer) {
    if (last_peer_ != peer || loop_.now() - helped_at_ >= peer_pause) {
        avoid_peer(peer);
    }
}

}  // namespace fuchsiaquay
