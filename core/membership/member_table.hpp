#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/membership/member_change.hpp"
#include "core/membership/member_entry.hpp"

namespace fuchsiaquay {

/// Every known host, by the rule that a higher incarnation wins and at equal incarnation the later
/// state of `member_state`.
class member_table {
public:
    /// Takes `update` if it is news. True if it was.
    bool apply(const member_update& update, instant now);
    const member_entry* find(const host_id& host) const;
    const std::map<host_id, member_entry>& entries() const noexcept { return entries_; }
    /// Notes a failed probe of a leaving host.
    void mark_probe_failed(const host_id& host, instant now);
    /// Hosts of a data centre that are alive or suspect.
    const std::vector<host_id>& live_hosts(const data_centre_id& data_centre) const;
    std::vector<data_centre_id> data_centres() const;
    /// Suspects, and leaving hosts that stopped answering, since before `limit`.
    std::vector<member_update> expired_suspicions(instant limit) const;
    /// Suspects of `data_centre` since before `limit` that were not returned by this call yet.
    std::vector<member_update> take_unprobed_suspects(const data_centre_id& data_centre,
                                                      instant limit);
    /// Removes hosts dead since before `limit`.
    void remove_dead(instant limit);
    /// Moves every pending suspicion by `gap`, a time in which this process was paused.
    void extend_suspicions(duration gap);
    /// Equal for equal views; suspicion and dead hosts do not count.
    std::uint64_t digest() const;
    std::vector<member_update> all_updates() const;
    std::vector<member_change> take_changes();

private:
    /// A host that answers at the address of another one has taken its place.
    void retire_predecessor(const member_update& update, instant now);
    void set(const member_update& update, instant now);

    std::map<host_id, member_entry> entries_;
    std::vector<member_change> changes_;
    mutable std::uint64_t digest_ = 0;
    mutable bool digest_stale_ = true;
    /// By data centre, filled on demand; cleared by every change.
    mutable std::map<data_centre_id, std::vector<host_id>> live_;
};

}  // namespace fuchsiaquay
