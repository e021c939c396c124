#include "tests/stand_ins/platform/revision_store.hpp"

#include <algorithm>

namespace fuchsiaquay::stand_ins {

bool revision_store::contains(const std::string& key, const std::string& range_end,
                              const std::string& candidate) {
    if (range_end.empty()) {
        return candidate == key;
    }
    const bool unbounded = range_end == std::string(1, '\0');
    return candidate >= key && (unbounded || candidate < range_end);
}

void revision_store::record(store_event event) {
    revision_ = open_revision_;
    event.entry.mod_revision = revision_;
    history_.push_back(std::move(event));
}

void revision_store::put(const std::string& key, const std::string& value, std::int64_t lease) {
    stored_entry& entry = entries_[key];
    if (entry.version == 0) {
        entry.key = key;
        entry.create_revision = open_revision_;
    }
    entry.value = value;
    entry.lease = lease;
    entry.mod_revision = open_revision_;
    ++entry.version;
    record({false, entry});
}

std::int64_t revision_store::erase(const std::string& key, const std::string& range_end) {
    std::int64_t count = 0;
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (!contains(key, range_end, it->first)) {
            ++it;
            continue;
        }
        stored_entry gone;
        gone.key = it->first;
        it = entries_.erase(it);
        record({true, gone});
        ++count;
    }
    return count;
}

std::vector<stored_entry> revision_store::range(const std::string& key,
                                                const std::string& range_end) const {
    std::vector<stored_entry> found;
    for (const auto& [name, entry] : entries_) {
        if (contains(key, range_end, name)) {
            found.push_back(entry);
        }
    }
    return found;
}

std::int64_t revision_store::grant(std::int64_t id, std::chrono::seconds ttl, time_point now) {
    const std::int64_t chosen = id != 0 ? id : next_lease_++;
    leases_[chosen] = lease{ttl, now + ttl};
    return chosen;
}

std::int64_t revision_store::keep_alive(std::int64_t id, time_point now) {
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
        return 0;
    }
    found->second.deadline = now + found->second.ttl;
    return found->second.ttl.count();
}

void revision_store::revoke(std::int64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [name, entry] : entries_) {
        if (entry.lease == id) {
            keys.push_back(name);
        }
    }
    begin();
    for (const std::string& name : keys) {
        erase(name, "");
    }
}

void revision_store::expire(time_point now) {
    std::vector<std::int64_t> over;
    for (const auto& [id, terms] : leases_) {
        if (terms.deadline <= now) {
            over.push_back(id);
        }
    }
    std::for_each(over.begin(), over.end(), [this](std::int64_t id) { revoke(id); });
}

void revision_store::lapse_all() {
    while (!leases_.empty()) {
        revoke(leases_.begin()->first);
    }
}

std::vector<store_event> revision_store::events(const std::string& key,
                                                const std::string& range_end,
                                                std::int64_t first_revision) const {
    std::vector<store_event> found;
    // The history is sorted by revision, so the search may start from its end.
    auto it = history_.end();
    while (it != history_.begin() && std::prev(it)->entry.mod_revision >= first_revision) {
        --it;
    }
    std::copy_if(it, history_.end(), std::back_inserter(found), [&](const store_event& event) {
        return contains(key, range_end, event.entry.key);
    });
    return found;
}

}  // namespace fuchsiaquay::stand_ins
