#pragma once

#include <tuple>
#include <vector>

#include "core/identity/names.hpp"
#include "core/scheduling/addressed_reply.hpp"

namespace fuchsiaquay {

/// Actions for an owner to carry out: replies to send and engine streams to cancel.
struct scheduling_actions {
    std::vector<addressed_reply> replies;
    std::vector<grant_id> cancels;

    friend bool operator==(const scheduling_actions& a, const scheduling_actions& b) {
        return std::tie(a.replies, a.cancels) == std::tie(b.replies, b.cancels);
    }
    friend bool operator!=(const scheduling_actions& a, const scheduling_actions& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
