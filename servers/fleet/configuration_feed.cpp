#include "servers/fleet/configuration_feed.hpp"

#include <utility>

#include "core/error/step_error.hpp"
#include "core/fleet/fleet_configuration.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/configuration_codec.hpp"

namespace fuchsiaquay {

configuration_feed::configuration_feed(const configuration_codec& codec, decision_log& log,
                                       std::string key)
    : codec_(codec), log_(log), key_(std::move(key)) {}

void configuration_feed::on_snapshot(const std::vector<stored_value>& values,
                                     std::int64_t /*revision*/, bool /*after_outage*/) {
    for (const stored_value& value : values) {
        if (value.key == key_) {
            take(value);
        }
    }
}

void configuration_feed::on_changes(const std::vector<watch_event>& events,
                                    std::int64_t /*revision*/) {
    // Each value is a whole configuration: only the newest counts.
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
        if (event->value.key == key_ && !event->erased) {
            take(event->value);
            return;
        }
    }
}

void configuration_feed::take(const stored_value& value) {
    if (value.revision <= revision_) {
        return;
    }
    std::shared_ptr<const fleet_configuration> next;
    try {
        next = codec_.decode(value.value);
    } catch (const step_error& error) {
        log_.write(decision_log::level::error, "configuration_unreadable",
                   {{"revision", std::to_string(value.revision)}, {"reason", error.what()}});
        return;
    }
    revision_ = value.revision;
    text_ = value.value;
    if (current_ && next->version() <= current_->version()) {
        return;
    }
    log_.write(decision_log::level::info, "configuration_applied",
               {{"version", std::to_string(next->version())},
                {"revision", std::to_string(value.revision)},
                {"routes", std::to_string(next->route_count())}});
    current_ = std::move(next);
    if (changed_) {
        changed_(*current_);
    }
}

}  // namespace fuchsiaquay
