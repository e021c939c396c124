#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// Updates still to be spread: urgent ones first, then the least often sent. Holds at most one a
/// host.
class update_queue {
public:
    /// Queues `update` for `transmissions` messages, in place of an earlier one about its host.
    void add(const member_update& update, std::size_t transmissions, bool urgent);
    /// Up to `count` updates for one message.
    std::vector<member_update> take(std::size_t count);
    /// Smallest k with 10^k >= `count`, at least 1: the rounds in which gossip reaches all hosts.
    static std::size_t decimal_digits(std::size_t count);
    bool empty() const noexcept { return pending_.empty(); }

private:
    struct entry {
        member_update update;
        std::size_t left = 0;
        bool urgent = false;
    };
    std::map<host_id, entry> pending_;
};

}  // namespace fuchsiaquay
