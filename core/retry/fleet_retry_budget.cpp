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
    /// Hosts that may join within a window, for each one that is there.
    constexpr double joining = 0.5;
    hosts_ =
        std::max<double>(settings_.min_hosts, static_cast<double>(live_hosts) * (1.0 + joining));
}

void fleet_retry_budget::on_request(const std::string& service, instant now) {
    window& item = services_[service];
    forget_old(item, now);
    item.requests.push_back(now);
}

bool fleet_retry_budget::try_take(const std::string& service, instant now) {
    window& item = services_[service];
    forget_old(item, now);
    const double allowed =
        settings_.ratio * settings_.ratio_utilization * static_cast<double>(item.requests.size()) +
        settings_.allowance / hosts_;
    if (static_cast<double>(item.repeats.size()) + 1.0 > allowed) {
        ++denied_;
        return false;
    }
    item.repeats.push_back(now);
    ++taken_;
    return true;
}

void fleet_retry_budget::forget_old(window& item, instant now) const {
    drop_before(item.requests, now - settings_.window);
    drop_before(item.repeats, now - settings_.window);
}

}  // namespace fuchsiaquay
