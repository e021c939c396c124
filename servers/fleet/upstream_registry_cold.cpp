/// @file
/// The part of `upstream_registry` that keeps how long upstreams are cold.

#include <algorithm>
#include <utility>

#include "servers/decision_log.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// Extension of a cold time that other hosts need not hear of. An entry is read up to one period of
/// the mirror after it was written, so each report seems to extend the time a little.
constexpr duration cold_tolerance = std::chrono::milliseconds(500);

}  // namespace

bool upstream_registry::removed_lately(const upstream_lifetime& process) const {
    return process.started_at_ms > 0 &&
           std::any_of(removals_.begin(), removals_.end(),
                       [&process](const removal& item) { return item.process == process; });
}

std::optional<duration> upstream_registry::cold_time_of(const std::string& service) const {
    return cold_times_ ? cold_times_(service) : std::nullopt;
}

void upstream_registry::note_cold(listed_entry& item, duration cold_time, std::int64_t revision,
                                  const char* reason) {
    const instant until = timers_.now() + cold_time;
    if (cold_time <= duration::zero() || until <= item.cold_until) {
        return;
    }
    item.cold_until = until;
    if (until > item.announced_cold_until + cold_tolerance && cold_time_of(item.entry.service)) {
        item.announced_cold_until = until;
        item.revision = std::max(item.revision, revision);
    }
    report_if_cold(item, reason);
}

void upstream_registry::report_if_cold(listed_entry& item, const char* reason) {
    const duration left = item.cold_until - timers_.now();
    if (left <= duration::zero() || !cold_time_of(item.entry.service)) {
        return;
    }
    if (!std::exchange(item.cold, true)) {
        log_.write(decision_log::level::info, "upstream_cold",
                   {{"upstream", item.entry.id},
                    {"service", item.entry.service},
                    {"started_at_ms", std::to_string(item.entry.started_at_ms)},
                    {"left_ms", std::to_string(to_milliseconds(left))},
                    {"reason", reason}});
        plan_warm(item.entry.lifetime(), left);
    }
    if (cold_handler_) {
        cold_handler_(item.entry.lifetime(), item.cold_until);
    }
}

void upstream_registry::plan_warm(const upstream_lifetime& process, duration left) {
    timers_.after(left, [this, process, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            note_if_warm(process);
        }
    });
}

void upstream_registry::note_if_warm(const upstream_lifetime& process) {
    const auto known = entries_.find(process.id);
    if (known == entries_.end() || known->second.entry.lifetime() != process) {
        return;
    }
    const duration left = known->second.cold_until - timers_.now();
    if (left > duration::zero()) {
        plan_warm(process, left);
        return;
    }
    if (std::exchange(known->second.cold, false)) {
        log_.write(decision_log::level::info, "upstream_warm",
                   {{"upstream", process.id},
                    {"service", known->second.entry.service},
                    {"started_at_ms", std::to_string(process.started_at_ms)}});
    }
}

void upstream_registry::report_cold() {
    for (auto& [id, item] : entries_) {
        report_if_cold(item, "configuration");
    }
}

void upstream_registry::on_data_centre_returned(const std::string& data_centre) {
    for (auto& [id, item] : entries_) {
        const std::optional<duration> usual = cold_time_of(item.entry.service);
        if (item.entry.data_centre == data_centre && usual) {
            // Each host sees the return itself, so the revision stays.
            note_cold(item, *usual, item.revision, "data centre returned");
        }
    }
}

}  // namespace fuchsiaquay
