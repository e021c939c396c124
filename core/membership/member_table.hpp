#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/membership/member_change.hpp"
#include "core/membership/member_entry.hpp"

namespace fuchsiaquay {

/// All known hosts. An update replaces an entry if its incarnation is higher, or if the
/// incarnations are equal and its state comes later in `member_state`.
class member_table {
public:
    /// Applies `update` if it supersedes the current entry. Returns whether it did.
    bool apply(const member_update& update, instant now);
    const member_entry* find(const host_id& host) const;
    const std::map<host_id, member_entry>& entries() const noexcept { return entries_; }
    /// Records a failed probe of a leaving host.
    void mark_probe_failed(const host_id& host, instant now);
    /// Hosts of a data centre that are alive or suspect.
    const std::vector<host_id>& live_hosts(const data_centre_id& data_centre) const;
    std::vector<data_centre_id> data_centres() const;
    /// Hosts suspected since before `limit`, and leaving hosts whose probe failed before `limit`.
    std::vector<member_update> expired_suspicions(instant limit) const;
    /// Hosts of `data_centre` suspected since before `limit`. Returns each suspect only once.
    std::vector<member_update> take_unprobed_suspects(const data_centre_id& data_centre,
                                                      instant limit);
    /// Removes hosts that have been dead since before `limit`.
    void remove_dead(instant limit);
    /// Extends all pending suspicions by `gap`, for which this process was paused.
    void extend_suspicions(duration gap);
    /// Hash of the table. Ignores suspicions and dead hosts, so that it is equal on hosts that
    /// agree on all other members.
    std::uint64_t digest() const;
    std::vector<member_update> all_updates() const;
    std::vector<member_change> take_changes();

private:
    /// Marks the previous host at the address of `update` as dead: the new host has replaced it.
    void retire_predecessor(const member_update& update, instant now);
    void set(const member_update& update, instant now);

    std::map<host_id, member_entry> entries_;
    std::vector<member_change> changes_;
    mutable std::uint64_t digest_ = 0;
    mutable bool digest_stale_ = true;
    /// Live hosts by data centre. Filled on demand and cleared by every change.
    mutable std::map<data_centre_id, std::vector<host_id>> live_;
};

}  // namespace fuchsiaquay
