#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Which hosts callers hear of and for how long.
struct directory_settings {
    /// Hosts named to one customer.
    std::size_t hosts_per_customer = 3;
    /// How long a caller may keep an answer.
    duration max_age = std::chrono::seconds(30);
    /// Bound on the time until every host has heard that one leaves.
    duration gossip_delay = std::chrono::seconds(10);

    /// Time that a leaving host must serve on: until the last answer that could name it has lapsed.
    duration drain_time() const { return gossip_delay + max_age; }
};

}  // namespace fuchsiaquay
