#include "core/membership/member_table.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {
namespace {

bool supersedes(const member_update& update, const member_update& known) {
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return update.state > known.state;
}

bool is_live(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

}  // namespace

bool member_table::apply(const member_update& update, instant now) {
    const auto known = entries_.find(update.host);
    if (known == entries_.end()) {
        if (update.host.empty() || update.state == member_state::dead) {
            return false;
        }
        retire_predecessor(update, now);
        set(update, now);
        return true;
    }
    if (!supersedes(update, known->second.update)) {
        return false;
    }
    set(update, now);
    return true;
}

void member_table::retire_predecessor(const member_update& update, instant now) {
    for (const auto& [host, entry] : entries_) {
        const member_update& other = entry.update;
        if (other.address != update.address || other.peer_port != update.peer_port ||
            other.incarnation >= update.incarnation || other.state == member_state::dead) {
            continue;
        }
        member_update retired = other;
        retired.state = member_state::dead;
        set(retired, now);
        return;
    }
}

void member_table::set(const member_update& update, instant now) {
    member_entry& entry = entries_[update.host];
    std::optional<member_state> before;
    if (!entry.update.host.empty()) {
        before = entry.update.state;
    }
    changes_.push_back(member_change{update, before});
    entry = member_entry{update, now, false, false};
    digest_stale_ = true;
    live_.clear();
}

const member_entry* member_table::find(const host_id& host) const {
    const auto known = entries_.find(host);
    return known == entries_.end() ? nullptr : &known->second;
}

void member_table::mark_probe_failed(const host_id& host, instant now) {
    const auto known = entries_.find(host);
    if (known != entries_.end() && !known->second.probe_failed) {
        known->second.probe_failed = true;
        known->second.since = now;
    }
}

const std::vector<host_id>& member_table::live_hosts(const data_centre_id& data_centre) const {
    const auto known = live_.find(data_centre);
    if (known != live_.end()) {
        return known->second;
    }
    std::vector<host_id>& hosts = live_[data_centre];
    for (const auto& [host, entry] : entries_) {
        if (entry.update.data_centre == data_centre && is_live(entry.update.state)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<data_centre_id> member_table::data_centres() const {
    std::set<data_centre_id> names;
    for (const auto& [host, entry] : entries_) {
        names.insert(entry.update.data_centre);
    }
    return {names.begin(), names.end()};
}

std::vector<member_update> member_table::expired_suspicions(instant limit) const {
    std::vector<member_update> result;
    for (const auto& [host, entry] : entries_) {
        const bool suspected = entry.update.state == member_state::suspect ||
                               (entry.update.state == member_state::leaving && entry.probe_failed);
        if (suspected && entry.since <= limit) {
            result.push_back(entry.update);
        }
    }
    return result;
}

std::vector<member_update> member_table::take_unprobed_suspects(const data_centre_id& data_centre,
                                                                instant limit) {
    std::vector<member_update> result;
    for (auto& [host, entry] : entries_) {
        if (entry.update.state == member_state::suspect && !entry.probed && entry.since <= limit &&
            entry.update.data_centre == data_centre) {
            entry.probed = true;
            result.push_back(entry.update);
        }
    }
    return result;
}

void member_table::remove_dead(instant limit) {
    for (auto it = entries_.begin(); it != entries_.end();) {
        const member_entry& entry = it->second;
        const bool expired = entry.update.state == member_state::dead && entry.since <= limit;
        it = expired ? entries_.erase(it) : std::next(it);
    }
}

void member_table::extend_suspicions(duration gap) {
    for (auto& [host, entry] : entries_) {
        if (entry.update.state == member_state::suspect || entry.probe_failed) {
            entry.since += gap;
        }
    }
}

std::uint64_t member_table::digest() const {
    if (!digest_stale_) {
        return digest_;
    }
    digest_ = 0;
    for (const auto& [host, entry] : entries_) {
        if (entry.update.state == member_state::dead) {
            continue;
        }
        const bool leaving = entry.update.state == member_state::leaving;
        const std::uint64_t seed = entry.update.incarnation * 2 + (leaving ? 1 : 0);
        digest_ ^= stable_hash(host.value(), seed);
    }
    digest_stale_ = false;
    return digest_;
}

std::vector<member_update> member_table::all_updates() const {
    std::vector<member_update> updates;
    updates.reserve(entries_.size());
    for (const auto& [host, entry] : entries_) {
        updates.push_back(entry.update);
    }
    return updates;
}

std::vector<member_change> member_table::take_changes() {
    return std::exchange(changes_, {});
}

}  // namespace fuchsiaquay
