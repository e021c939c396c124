#pragma once

#include <string>
#include <vector>

#include "core/fleet/network_address.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Metadata that is sent to an upstream along with the caller's request.
struct upstream_request_metadata {
    /// Id of the intended upstream; any other upstream at the address declines the request.
    std::string upstream;
    /// Empty if the route requires no key.
    std::string customer;
    duration time_left{};
    /// Order of admission at the upstream: 0 is first.
    int urgency = 0;
    /// Id of the last event that the caller received; empty at the start.
    std::string last_event_id;
    /// An engine that processes a part of the prompt, and the id of the reservation for that part;
    /// the id is empty if the part is not kept in memory.
    struct helper {
        network_address address;
        std::string reservation;
    };
    std::vector<helper> helpers;
};

}  // namespace fuchsiaquay
