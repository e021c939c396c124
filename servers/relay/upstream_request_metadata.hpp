#pragma once

#include <string>
#include <vector>

#include "core/fleet/network_address.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What an upstream is told beside the caller's request.
struct upstream_request_metadata {
    /// Upstream that must answer; any other one at the address declines.
    std::string upstream;
    /// Empty where no key was asked for.
    std::string customer;
    duration time_left{};
    /// Order of admission at the upstream: 0 is first.
    int urgency = 0;
    /// Last event that the caller already has; empty at the start.
    std::string last_event_id;
    /// Engines that read parts of the prompt, with the reservation that holds a part's memory;
    /// empty where a part is not kept.
    struct helper {
        network_address address;
        std::string reservation;
    };
    std::vector<helper> helpers;
};

}  // namespace fuchsiaquay
