#include "servers/fleet/upstream_registry.hpp"

#include <set>
#include <utility>

#include "core/error/step_error.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/upstream_codec.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// Time for upstreams to register again after the store's return. Source: the platform's note on
/// lapsed entries (about two seconds), and one period of the mirror.
constexpr duration register_again_time = std::chrono::milliseconds(2'200);

const char* name_of(upstream_state state) {
    return state == upstream_state::ready ? "ready" : "draining";
}

}  // namespace

upstream_registry::upstream_registry(const upstream_codec& codec, timer_service& timers,
                                     decision_log& log, std::string prefix)
    : codec_(codec), timers_(timers), log_(log), prefix_(std::move(prefix)) {}

const std::vector<upstream_entry>& upstream_registry::ready(const std::string& service) const {
    static const std::vector<upstream_entry> none;
    const auto found = ready_.find(service);
    return found == ready_.end() ? none : found->second;
}

const upstream_entry* upstream_registry::find(const std::string& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

void upstream_registry::on_snapshot(const std::vector<stored_value>& values, bool after_outage) {
    std::set<std::string> listed;
    for (const stored_value& value : values) {
        listed.insert(value.key.substr(prefix_.size()));
        store(value);
    }
    std::vector<std::string> absent;
    for (const auto& [id, entry] : entries_) {
        if (listed.count(id) == 0) {
            absent.push_back(id);
        }
    }
    for (const std::string& id : absent) {
        if (after_outage && loaded_) {
            missing_.emplace(id, timers_.now());
        } else {
            remove(id, "not listed");
        }
    }
    if (!missing_.empty()) {
        timers_.after(register_again_time, [this, alive = std::weak_ptr<int>(alive_)] {
            if (!alive.expired()) {
                remove_lapsed();
            }
        });
    }
    loaded_ = true;
    index();
}

void upstream_registry::on_changes(const std::vector<watch_event>& events) {
    for (const watch_event& event : events) {
        if (event.erased) {
            remove(event.value.key.substr(prefix_.size()), "removed");
        } else {
            store(event.value);
        }
    }
    index();
}

void upstream_registry::store(const stored_value& value) {
    const std::string id = value.key.substr(prefix_.size());
    try {
        const upstream_entry entry = codec_.decode(id, value.value);
        missing_.erase(id);
        const auto known = entries_.find(id);
        if (known != entries_.end() && known->second == entry) {
            return;
        }
        log_.write(decision_log::level::info, "upstream_listed",
                   {{"upstream", id},
                    {"service", entry.service},
                    {"address", entry.address.text()},
                    {"state", name_of(entry.state)},
                    {"revision", std::to_string(value.revision)}});
        entries_[id] = entry;
    } catch (const step_error& error) {
        log_.write(decision_log::level::warning, "upstream_unreadable",
                   {{"upstream", id},
                    {"revision", std::to_string(value.revision)},
                    {"reason", error.what()}});
        remove(id, "unreadable");
    }
}

void upstream_registry::remove(const std::string& id, const char* reason) {
    missing_.erase(id);
    if (entries_.erase(id) == 0) {
        return;
    }
    log_.write(decision_log::level::info, "upstream_gone", {{"upstream", id}, {"reason", reason}});
    if (gone_) {
        gone_(id);
    }
}

void upstream_registry::remove_lapsed() {
    const instant now = timers_.now();
    std::vector<std::string> lapsed;
    for (const auto& [id, since] : missing_) {
        if (now - since >= register_again_time) {
            lapsed.push_back(id);
        }
    }
    for (const std::string& id : lapsed) {
        remove(id, "did not register again");
    }
    index();
}

void upstream_registry::index() {
    ready_.clear();
    for (const auto& [id, entry] : entries_) {
        if (entry.state == upstream_state::ready) {
            ready_[entry.service].push_back(entry);
        }
    }
}

}  // namespace fuchsiaquay
