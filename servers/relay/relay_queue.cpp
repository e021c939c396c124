#include "servers/relay/relay_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "servers/decision_log.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/relay/admission.hpp"
#include "servers/relay/request_relay.hpp"
#include "servers/store/prefix_mirror.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_unauthorized = 401;
/// Interval between timeout checks.
constexpr duration check_period = std::chrono::milliseconds(50);
/// Pause of this process after which responses may be waiting to be read, so that nothing can be
/// said about the silence of upstreams.
constexpr duration max_check_gap = check_period * 4;
/// Changes within this time are combined into one placement attempt.
constexpr duration retry_delay = std::chrono::milliseconds(2);
/// Time after startup within which a host finds out whether it can serve requests.
constexpr duration startup_time = std::chrono::milliseconds(2'000);

/// Order of the requests that wait until the limits of their upstreams leave room.
bool goes_before(const request_relay& a, const request_relay& b) {
    return std::make_tuple(a.rank(), a.received_at()) < std::make_tuple(b.rank(), b.received_at());
}

}  // namespace

relay_queue::relay_queue(const relay_services& services)
    : services_(services), chooser_(services), started_at_(services.timers.now()) {
    services_.timers.every(check_period, [this] { check_all_timeouts(); });
    services_.work_table.on_capacity_freed([this] { retry_waiting(); });
}

std::unique_ptr<active_request> relay_queue::serve(caller_request request, response_sink& sink) {
    auto relay =
        std::make_unique<request_relay>(services_, chooser_, *this, std::move(request), sink);
    relay->start();
    return relay;
}

caller_check relay_queue::check_caller(const caller_request& head) const {
    const admission_result admitted =
        admit(head, services_.configuration.current(), services_.configuration_mirror.state());
    caller_check result;
    if (admitted.refused && admitted.refused->status == status_unauthorized) {
        result.refused = admitted.refused;
    }
    result.confirmed = !admitted.refused;
    return result;
}

std::size_t relay_queue::waiting() const {
    return static_cast<std::size_t>(
        std::count_if(relays_.begin(), relays_.end(),
                      [](const request_relay* relay) { return relay->waiting(); }));
}

std::size_t relay_queue::rate_waiters_ahead(const request_relay& relay) const {
    return static_cast<std::size_t>(
        std::count_if(relays_.begin(), relays_.end(), [&relay](const request_relay* other) {
            return other != &relay && other->waits_for_rate() &&
                   other->service() == relay.service() && goes_before(*other, relay);
        }));
}

bool relay_queue::starting() const {
    return services_.timers.now() - started_at_ < startup_time;
}

void relay_queue::retry_waiting() {
    if (retry_planned_ || waiting() == 0) {
        return;
    }
    retry_planned_ = true;
    services_.timers.after(retry_delay, [this] {
        retry_planned_ = false;
        place_waiting();
    });
}

void relay_queue::place_waiting() {
    // Among equally urgent requests, those that can still meet their target go before late ones.
    // Shares are equal unless client accounts compete for engines that are short.
    using queue_position = std::tuple<int, bool, double, instant>;
    const instant now = services_.timers.now();
    std::vector<std::pair<queue_position, request_relay*>> waiting;
    for (request_relay* relay : relays_) {
        if (relay->waiting()) {
            const double share = chooser_.share_in_use(relay->admitted());
            waiting.push_back(
                {{relay->rank(), relay->late_at() <= now, share, relay->received_at()}, relay});
        }
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [position, relay] : waiting) {
        // Placing an earlier request may have ended this one, for example when its connection
        // broke.
        if (relays_.count(relay) > 0) {
            relay->try_place();
        }
    }
}

template <typename visitor>
void relay_queue::for_each(visitor visit) {
    const std::vector<request_relay*> all(relays_.begin(), relays_.end());
    for (request_relay* relay : all) {
        if (relays_.count(relay) > 0) {
            visit(*relay);
        }
    }
}

void relay_queue::check_all_timeouts() {
    const instant now = services_.timers.now();
    const bool check_silence = now - last_check_at_ <= max_check_gap;
    last_check_at_ = now;
    review_quarantine();
    place_waiting();
    for_each([check_silence](request_relay& relay) { relay.check_timeouts(check_silence); });
}

void relay_queue::review_quarantine() {
    prompt_part_quarantine& quarantine = services_.work_table.quarantine();
    // Until the other hosts have reported, this host does not know which parts they answered.
    if (services_.knows_all_work()) {
        for (const std::string& part : quarantine.review(services_.timers.now())) {
            services_.log.write(decision_log::level::warning, "prompt_part_quarantined",
                                {{"part", part}, {"source", "engines ended"}});
        }
    }
    if (quarantine.size() > 0) {
        for_each([](request_relay& relay) { relay.check_quarantine(); });
    }
}

}  // namespace fuchsiaquay
