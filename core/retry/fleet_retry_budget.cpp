#include "core/retry/fleet_retry_budget.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

void drop_before(std::deque<instant>& times, instant oldest) {
    while (!times.empty() && times.front() <= oldest) {
        times.pop_front();
    }
}

}  // namespace

void fleet_retry_budget::set_live_hosts(std::size_t live_hosts) {
    /// Hosts that may join within a window, per live host.
    constexpr double joining_ratio = 0.5;
    hosts_ = std::max<double>(settings_.min_hosts,
                              static_cast<double>(live_hosts) * (1.0 + joining_ratio));
}

void fleet_retry_budget::on_request(const std::string& service, instant now) {
    window& service_window = services_[service];
    remove_expired(service_window, now);
    service_window.requests.push_back(now);
}

bool fleet_retry_budget::try_take(const std::string& service, instant now) {
    window& service_window = services_[service];
    remove_expired(service_window, now);
    const double allowed = settings_.ratio * settings_.ratio_utilization *
                               static_cast<double>(service_window.requests.size()) +
                           settings_.allowance / hosts_;
    if (static_cast<double>(service_window.retries.size()) + 1.0 > allowed) {
        ++denied_;
        return false;
    }
    service_window.retries.push_back(now);
    ++granted_;
    return true;
}

void fleet_retry_budget::remove_expired(window& service_window, instant now) const {
    drop_before(service_window.requests, now - settings_.window);
    drop_before(service_window.retries, now - settings_.window);
}

}  // namespace fuchsiaquay
