#pragma once

#include <cstdint>
#include <set>

#include "servers/relay/relay_services.hpp"
#include "servers/relay/request_handler.hpp"
#include "servers/relay/upstream_chooser.hpp"

namespace fuchsiaquay {

class request_relay;

/// All requests in progress on this host. Requests that wait for an upstream are tried again
/// whenever capacity becomes free, ordered by rank, by the share that their client account uses
/// while engines are short, and by age.
class relay_queue final : public request_handler {
public:
    explicit relay_queue(const relay_services& services);

    std::unique_ptr<active_request> serve(caller_request request, response_sink& sink) override;
    caller_check check_caller(const caller_request& head) const override;

    /// Schedules another placement attempt for all waiting requests.
    void retry_waiting();
    void add(request_relay& relay) {
        relays_.insert(&relay);
        ++accepted_;
    }
    void remove(request_relay& relay) { relays_.erase(&relay); }
    std::size_t active() const noexcept { return relays_.size(); }
    /// Number of requests since startup.
    std::uint64_t accepted() const noexcept { return accepted_; }
    std::size_t waiting() const;
    /// Number of decisions since startup to hold or refuse a request because its client account has
    /// used up its share.
    std::uint64_t held_by_share() const noexcept { return held_by_share_; }
    void count_held_by_share() { ++held_by_share_; }
    /// Counts a request that waits because the engines' room belongs to the shares of other hosts.
    void add_share_wait() { ++share_waits_; }
    std::uint64_t share_waits() const noexcept { return share_waits_; }
    /// Adds a first event to the sums of the forecasts and of the times that were observed.
    void add_first_event(duration forecast, duration observed) {
        first_events_forecast_ += forecast;
        first_events_observed_ += observed;
    }
    duration first_events_forecast() const noexcept { return first_events_forecast_; }
    duration first_events_observed() const noexcept { return first_events_observed_; }
    /// Number of requests for the same service that wait until the limits of its upstreams leave
    /// room, and go before `relay`.
    std::size_t rate_waiters_ahead(const request_relay& relay) const;
    /// True shortly after startup, while the host may still be loading what it needs to serve.
    bool starting() const;

private:
    void place_waiting();
    void check_all_timeouts();
    /// Ends the requests with parts that are quarantined from now on.
    void review_quarantine();
    /// Calls `visit` for each request, except those that end meanwhile.
    template <typename visitor>
    void for_each(visitor visit);

    const relay_services& services_;
    upstream_chooser chooser_;
    std::set<request_relay*> relays_;
    std::uint64_t accepted_ = 0;
    std::uint64_t held_by_share_ = 0;
    std::uint64_t share_waits_ = 0;
    duration first_events_forecast_{};
    duration first_events_observed_{};
    instant started_at_{};
    instant last_check_at_{};
    bool retry_planned_ = false;
};

}  // namespace fuchsiaquay
