#include "servers/fleet/upstream_registry.hpp"

#include <algorithm>
#include <utility>

#include "core/error/operation_error.hpp"
#include "core/freshness/store_revision.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/upstream_codec.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

/// Time for upstreams to register again after an outage of the store: about two seconds according
/// to the platform's note on lapsed entries, plus one period of the mirror.
constexpr duration reregistration_time = std::chrono::milliseconds(2'200);

/// Number of removals that are kept for other hosts. Older copies receive the whole catalogue.
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

std::vector<network_address> upstream_registry::addresses() const {
    std::vector<network_address> result;
    result.reserve(entries_.size());
    for (const auto& [id, item] : entries_) {
        result.push_back(item.entry.address);
    }
    return result;
}

bool upstream_registry::reassigned_since(instant since, const network_address& address,
                                         const upstream_lifetime& process) const {
    const auto found = occupants_.find(address);
    return found != occupants_.end() && found->second.process != process &&
           found->second.listed_at >= since;
}

catalogue_delta upstream_registry::changes_after(std::int64_t known) const {
    const std::int64_t revision = with_era_of(revision_, known);
    catalogue_delta delta;
    delta.revision = revision_;
    // A copy of an earlier era may hold changes that the store has lost and this host never had.
    delta.complete =
        revision < last_dropped_removal_ || revision == 0 || !same_era(revision, revision_);
    for (const auto& [id, item] : entries_) {
        if (delta.complete || item.revision > revision) {
            delta.changes.push_back({item.entry, false, item.revision});
            delta.changes.back().entry.cold_time =
                std::max(duration::zero(), item.cold_until - timers_.now());
        }
    }
    for (const removal& item : removals_) {
        if (!delta.complete && item.revision > revision) {
            upstream_change change;
            change.entry.id = item.process.id;
            change.removed = true;
            change.revision = item.revision;
            delta.changes.push_back(change);
        }
    }
    return delta;
}

void upstream_registry::apply(const catalogue_delta& delta) {
    const bool newer = delta.complete ? delta.revision >= revision_ : delta.revision > revision_;
    if (!newer || delta.revision == 0) {
        return;
    }
    std::set<std::string> listed_ids;
    for (const upstream_change& change : delta.changes) {
        const std::string& id = change.entry.id;
        listed_ids.insert(id);
        const auto known = entries_.find(id);
        if (known != entries_.end() && known->second.revision > change.revision) {
            continue;
        }
        if (change.removed) {
            remove(id, change.revision, "removed, reported by another host");
        } else {
            add_or_update(change.entry, change.revision);
        }
    }
    revision_ = delta.revision;
    if (delta.complete) {
        remove_all_but(listed_ids, delta.revision, false);
    }
    loaded_ = true;
    update_ready_index();
}

void upstream_registry::on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                                    bool after_outage) {
    const bool restored = revision_ != 0 && !same_era(revision_, revision);
    revision_ = std::max(revision_, revision);
    std::set<std::string> listed_ids;
    for (const stored_value& value : values) {
        listed_ids.insert(value.key.substr(prefix_.size()));
        apply_value(value, restored);
    }
    remove_all_but(listed_ids, revision, after_outage && loaded_);
    loaded_ = true;
    update_ready_index();
}

void upstream_registry::remove_all_but(const std::set<std::string>& listed_ids, std::int64_t as_of,
                                       bool after_outage) {
    std::vector<std::string> absent;
    for (const auto& [id, item] : entries_) {
        // Another host may have reported an entry that is newer than the snapshot.
        if (listed_ids.count(id) == 0 && item.revision <= as_of) {
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
        timers_.after(reregistration_time, [this, alive = std::weak_ptr<int>(alive_)] {
            if (!alive.expired()) {
                remove_expired();
            }
        });
    }
}

void upstream_registry::on_changes(const std::vector<watch_event>& events, std::int64_t revision) {
    for (const watch_event& event : events) {
        if (event.erased) {
            remove(event.value.key.substr(prefix_.size()), event.value.revision, "removed");
        } else {
            apply_value(event.value, false);
        }
    }
    revision_ = std::max(revision_, revision);
    update_ready_index();
}

bool upstream_registry::is_draining(const upstream_lifetime& process) const {
    const upstream_entry* const known = find(process.id);
    return known != nullptr && known->state == upstream_state::draining &&
           known->lifetime() == process;
}

void upstream_registry::apply_value(const stored_value& value, bool after_restoration) {
    const std::string id = value.key.substr(prefix_.size());
    try {
        const upstream_entry entry = codec_.decode(id, value.value);
        // A process that drains does not become ready again; the store has lost its last report.
        if (!after_restoration || !is_draining(entry.lifetime())) {
            add_or_update(entry, value.revision);
        }
    } catch (const operation_error& error) {
        log_.write(decision_log::level::warning, "upstream_unreadable",
                   {{"upstream", id},
                    {"revision", std::to_string(value.revision)},
                    {"reason", error.what()}});
        remove(id, value.revision, "unreadable");
    }
}

void upstream_registry::add_or_update(const upstream_entry& entry, std::int64_t revision) {
    missing_.erase(entry.id);
    const auto known = entries_.find(entry.id);
    if (known != entries_.end() && known->second.entry == entry) {
        note_cold(known->second, entry.cold_time, revision, "entry");
        return;
    }
    log_.write(decision_log::level::info, "upstream_listed",
               {{"upstream", entry.id},
                {"service", entry.service},
                {"address", entry.address.text()},
                {"state", name_of(entry.state)},
                {"started_at_ms", std::to_string(entry.started_at_ms)},
                {"revision", std::to_string(revision)}});
    // An entry of an earlier process that is written late is no restart.
    const bool restarted = known != entries_.end() && known->second.entry.started_at_ms > 0 &&
                           known->second.entry.started_at_ms < entry.started_at_ms;
    const bool new_process =
        known == entries_.end() ? loaded_ && !removed_lately(entry.lifetime()) : restarted;
    listed_entry& item = entries_[entry.id];
    const bool same_process = item.entry.lifetime() == entry.lifetime();
    if (!same_process || item.entry.address != entry.address) {
        vacate(item.entry);
        occupants_[entry.address] = {entry.lifetime(), timers_.now()};
    }
    if (!same_process) {
        item = {};
    }
    item.entry = entry;
    item.revision = revision;
    ready_index_outdated_ = true;
    if (restarted && restarted_handler_) {
        restarted_handler_(entry.lifetime());
    }
    // The entry may be late, or may not tell.
    const duration usual =
        new_process ? cold_time_of(entry.service).value_or(duration::zero()) : duration::zero();
    note_cold(item, std::max(usual, entry.cold_time), revision,
              new_process ? "new process" : "entry");
}

void upstream_registry::remove(const std::string& id, std::int64_t revision, const char* reason) {
    missing_.erase(id);
    const auto known = entries_.find(id);
    if (known == entries_.end()) {
        return;
    }
    const upstream_lifetime lifetime = known->second.entry.lifetime();
    vacate(known->second.entry);
    entries_.erase(known);
    ready_index_outdated_ = true;
    removals_.push_back({lifetime, revision});
    if (removals_.size() > max_removals) {
        last_dropped_removal_ = std::max(last_dropped_removal_, removals_.front().revision);
        removals_.pop_front();
    }
    log_.write(decision_log::level::info, "upstream_gone",
               {{"upstream", id}, {"reason", reason}, {"revision", std::to_string(revision)}});
    if (removed_handler_) {
        removed_handler_(lifetime);
    }
}

void upstream_registry::vacate(const upstream_entry& entry) {
    const auto found = occupants_.find(entry.address);
    if (found != occupants_.end() && found->second.process == entry.lifetime()) {
        occupants_.erase(found);
    }
}

void upstream_registry::remove_expired() {
    const instant now = timers_.now();
    std::vector<std::string> lapsed;
    for (const auto& [id, since] : missing_) {
        if (now - since >= reregistration_time) {
            lapsed.push_back(id);
        }
    }
    for (const std::string& id : lapsed) {
        // Other hosts may already have copies of the current revision, so the removal needs a later
        // one.
        remove(id, revision_ + 1, "did not register again");
    }
    update_ready_index();
}

void upstream_registry::update_ready_index() {
    if (!std::exchange(ready_index_outdated_, false)) {
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
