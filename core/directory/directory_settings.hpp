#pragma once

#include <cstddef>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Settings of the directory answers that tell callers which hosts to use.
struct directory_settings {
    /// Number of hosts in an answer for one customer.
    std::size_t hosts_per_customer = 3;
    /// Maximum time for which a caller may use an answer.
    duration max_age = std::chrono::seconds(30);
    /// Upper bound on the time until all hosts know that a host is leaving.
    duration gossip_delay = std::chrono::seconds(10);

    /// Time for which a leaving host must continue to serve: until all answers that contain it have
    /// expired.
    duration drain_time() const { return gossip_delay + max_age; }
};

}  // namespace fuchsiaquay
