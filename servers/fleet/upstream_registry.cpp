#include "servers/fleet/upstream_registry.hpp"

#include <algorithm>
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

/// Removals that are told to other hosts; an older copy gets the whole catalogue.
constexpr std::size_t max_removals = 256;

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
    return found == entries_.end() ? nullptr : &found->second.entry;
}

catalogue_delta upstream_registry::changes_after(std::int64_t revision) const {
    catalogue_delta view;
    view.revision = revision_;
    view.complete = revision < removals_dropped_ || revision == 0;
    for (const auto& [id, item] : entries_) {
        if (view.complete || item.revision > revision) {
            view.changes.push_back({item.entry, false, item.revision});
        }
    }
    for (const removal& item : removals_) {
        if (!view.complete && item.revision > revision) {
            upstream_change change;
            change.entry.id = item.id;
            change.removed = true;
            change.revision = item.revision;
            view.changes.push_back(change);
        }
    }
    return view;
}

void upstream_registry::apply(const catalogue_delta& view) {
    const bool newer = view.complete ? view.revision >= revision_ : view.revision > revision_;
    if (!newer || view.revision == 0) {
        return;
    }
    std::set<std::string> kept;
    for (const upstream_change& change : view.changes) {
        const std::string& id = change.entry.id;
        kept.insert(id);
        const auto known = entries_.find(id);
        if (known != entries_.end() && known->second.revision > change.revision) {
            continue;
        }
        if (change.removed) {
            remove(id, change.revision, "removed, by a host");
        } else {
            list(change.entry, change.revision);
        }
    }
    revision_ = view.revision;
    if (view.complete) {
        remove_all_but(kept, view.revision, false);
    }
    loaded_ = true;
    index();
}

void upstream_registry::on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                                    bool after_outage) {
    revision_ = std::max(revision_, revision);
    std::set<std::string> kept;
    for (const stored_value& value : values) {
        kept.insert(value.key.substr(prefix_.size()));
        store(value);
    }
    remove_all_but(kept, revision, after_outage && loaded_);
    loaded_ = true;
    index();
}

void upstream_registry::remove_all_but(const std::set<std::string>& kept, std::int64_t as_of,
                                       bool after_outage) {
    std::vector<std::string> absent;
    for (const auto& [id, item] : entries_) {
        // Another host may have told of an entry that is newer than what was read.
        if (kept.count(id) == 0 && item.revision <= as_of) {
            absent.push_back(id);
        }
    }
    for (const std::string& id : absent) {
        if (after_outage) {
            missing_.emplace(id, timers_.now());
        } else {
            remove(id, revision_, "not listed");
        }
    }
    if (!missing_.empty()) {
        timers_.after(register_again_time, [this, alive = std::weak_ptr<int>(alive_)] {
            if (!alive.expired()) {
                remove_lapsed();
            }
        });
    }
}

void upstream_registry::on_changes(const std::vector<watch_event>& events, std::int64_t revision) {
    for (const watch_event& event : events) {
        if (event.erased) {
            remove(event.value.key.substr(prefix_.size()), event.value.revision, "removed");
        } else {
            store(event.value);
        }
    }
    revision_ = std::max(revision_, revision);
    index();
}

void upstream_registry::store(const stored_value& value) {
    const std::string id = value.key.substr(prefix_.size());
    try {
        list(codec_.decode(id, value.value), value.revision);
    } catch (const step_error& error) {
        log_.write(decision_log::level::warning, "upstream_unreadable",
                   {{"upstream", id},
                    {"revision", std::to_string(value.revision)},
                    {"reason", error.what()}});
        remove(id, value.revision, "unreadable");
    }
}

void upstream_registry::list(const upstream_entry& entry, std::int64_t revision) {
    missing_.erase(entry.id);
    const auto known = entries_.find(entry.id);
    if (known != entries_.end() && known->second.entry == entry) {
        return;
    }
    log_.write(decision_log::level::info, "upstream_listed",
               {{"upstream", entry.id},
                {"service", entry.service},
                {"address", entry.address.text()},
                {"state", name_of(entry.state)},
                {"revision", std::to_string(revision)}});
    entries_[entry.id] = {entry, revision};
    index_outdated_ = true;
}

void upstream_registry::remove(const std::string& id, std::int64_t revision, const char* reason) {
    missing_.erase(id);
    if (entries_.erase(id) == 0) {
        return;
    }
    index_outdated_ = true;
    removals_.push_back({id, revision});
    if (removals_.size() > max_removals) {
        removals_dropped_ = std::max(removals_dropped_, removals_.front().revision);
        removals_.pop_front();
    }
    log_.write(decision_log::level::info, "upstream_gone",
               {{"upstream", id}, {"reason", reason}, {"revision", std::to_string(revision)}});
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
        // The catalogue has moved on since: other hosts must see this as a change of now.
        remove(id, revision_ + 1, "did not register again");
    }
    index();
}

void upstream_registry::index() {
    if (!std::exchange(index_outdated_, false)) {
        return;
    }
    ready_.clear();
    for (const auto& [id, item] : entries_) {
        if (item.entry.state == upstream_state::ready) {
            ready_[item.entry.service].push_back(item.entry);
        }
    }
}

}  // namespace fuchsiaquay
