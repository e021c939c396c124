#include "servers/fleet/evacuation_feed.hpp"

#include <algorithm>

#include "servers/decision_log.hpp"

namespace fuchsiaquay {

namespace {

constexpr const char* store_source = "store";

}  // namespace

evacuation_feed::evacuation_feed(decision_log& log, std::string prefix, bool active)
    : log_(log), prefix_(std::move(prefix)), active_(active) {}

std::string evacuation_feed::data_centre_of(const std::string& key) const {
    const bool matches = key.compare(0, prefix_.size(), prefix_) == 0;
    return matches ? key.substr(prefix_.size()) : "";
}

void evacuation_feed::on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                                  bool /*after_outage*/) {
    // A slow answer of the store may be older than what another host has told.
    if (!active_ || revision < as_of_) {
        return;
    }
    std::set<std::string> data_centres;
    std::int64_t changed_at = current_.revision();
    for (const stored_value& value : values) {
        std::string data_centre = data_centre_of(value.key);
        if (!data_centre.empty()) {
            data_centres.insert(std::move(data_centre));
            changed_at = std::max(changed_at, value.revision);
        }
    }
    const std::set<std::string>& known = current_.data_centres();
    if (!std::includes(data_centres.begin(), data_centres.end(), known.begin(), known.end())) {
        // A snapshot does not tell when keys were removed.
        changed_at = revision;
    }
    as_of_ = revision;
    replace(std::move(data_centres), changed_at, store_source);
}

void evacuation_feed::on_changes(const std::vector<watch_event>& events,
                                 std::int64_t /*revision*/) {
    // Without a full read the rest of the set is not known.
    if (!active_ || as_of_ == 0) {
        return;
    }
    std::set<std::string> data_centres = current_.data_centres();
    std::int64_t changed_at = current_.revision();
    for (const watch_event& event : events) {
        const std::string data_centre = data_centre_of(event.value.key);
        if (data_centre.empty() || event.value.revision <= as_of_) {
            continue;
        }
        if (event.erased) {
            data_centres.erase(data_centre);
        } else {
            data_centres.insert(data_centre);
        }
        changed_at = std::max(changed_at, event.value.revision);
        as_of_ = event.value.revision;
    }
    replace(std::move(data_centres), changed_at, store_source);
}

void evacuation_feed::merge(const evacuation_set& received, std::int64_t as_of,
                            const std::string& source) {
    if (!active_ || as_of == 0) {
        return;
    }
    // The revision grows in any case, so that a host is not asked again for a known change.
    const std::int64_t changed_at = std::max(current_.revision(), received.revision());
    if (as_of < as_of_) {
        current_ = evacuation_set(current_.data_centres(), changed_at);
        return;
    }
    as_of_ = as_of;
    replace(received.data_centres(), changed_at, source);
}

void evacuation_feed::replace(std::set<std::string> data_centres, std::int64_t revision,
                              const std::string& source) {
    const evacuation_set previous = current_;
    current_ = evacuation_set(std::move(data_centres), revision);
    for (const std::string& data_centre : current_.data_centres()) {
        if (previous.data_centres().count(data_centre) == 0) {
            log_change("evacuation_started", data_centre, revision, source);
        }
    }
    for (const std::string& data_centre : previous.data_centres()) {
        if (current_.data_centres().count(data_centre) == 0) {
            log_change("evacuation_ended", data_centre, revision, source);
            if (end_handler_) {
                end_handler_(data_centre);
            }
        }
    }
    if (previous != current_ && change_handler_) {
        change_handler_();
    }
}

void evacuation_feed::log_change(const char* event, const std::string& data_centre,
                                 std::int64_t revision, const std::string& source) {
    log_.write(
        decision_log::level::info, event,
        {{"data_centre", data_centre}, {"revision", std::to_string(revision)}, {"source", source}});
}

}  // namespace fuchsiaquay
