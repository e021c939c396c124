#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/stand_ins/platform/store_event.hpp"

namespace fuchsiaquay::stand_ins {

/// Keys with revisions, leases and a history of events. Not thread safe; the caller passes in the
/// current time. A transaction is the group of changes between `begin` and the next `begin`; all of
/// them carry one revision.
class revision_store {
public:
    using time_point = std::chrono::steady_clock::time_point;

    std::int64_t revision() const { return revision_; }

    /// Starts a group of changes that share the next revision.
    void begin() { open_revision_ = revision_ + 1; }

    void put(const std::string& key, const std::string& value, std::int64_t lease);

    /// Removes the keys in [key, range_end) and returns how many there were. An empty
    /// `range_end` means the one key, "\0" every key from `key` on.
    std::int64_t erase(const std::string& key, const std::string& range_end);

    std::vector<stored_entry> range(const std::string& key, const std::string& range_end) const;

    /// Grants a lease and returns its id; an id of 0 asks for a new one.
    std::int64_t grant(std::int64_t id, std::chrono::seconds ttl, time_point now);

    /// Prolongs a lease and returns its time to live in seconds, or 0 if it has expired.
    std::int64_t keep_alive(std::int64_t id, time_point now);

    /// Ends a lease and deletes its keys.
    void revoke(std::int64_t id);

    /// Ends every expired lease.
    void expire(time_point now);

    /// Ends every lease at once.
    void lapse_all();

    /// Events of [key, range_end) at `first_revision` and later.
    std::vector<store_event> events(const std::string& key, const std::string& range_end,
                                    std::int64_t first_revision) const;

    static bool contains(const std::string& key, const std::string& range_end,
                         const std::string& candidate);

private:
    struct lease {
        std::chrono::seconds ttl{0};
        time_point deadline;
    };

    void record(store_event event);

    std::int64_t revision_ = 1;
    std::int64_t open_revision_ = 2;
    std::int64_t next_lease_ = 1000;
    std::map<std::string, stored_entry> entries_;
    std::map<std::int64_t, lease> leases_;
    std::vector<store_event> history_;
};

}  // namespace fuchsiaquay::stand_ins
