#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// Queue of updates to disseminate. Urgent updates are sent first, then those with the most
/// remaining transmissions. Contains at most one update per host.
class update_queue {
public:
    /// Queues `update` for `transmissions` messages. Replaces an earlier update about the same
    /// host.
    void add(const member_update& update, std::size_t transmissions, bool urgent);
    /// Returns up to `count` updates for one message and counts them as sent.
    std::vector<member_update> take(std::size_t count);
    /// Smallest k >= 1 with 10^k >= `count`: the number of rounds in which gossip reaches all
    /// hosts.
    static std::size_t decimal_digits(std::size_t count);
    bool empty() const noexcept { return pending_.empty(); }

private:
    struct entry {
        member_update update;
        std::size_t remaining = 0;
        bool urgent = false;
    };
    std::map<host_id, entry> pending_;
};

}  // namespace fuchsiaquay
