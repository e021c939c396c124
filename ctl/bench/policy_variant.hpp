#pragma once

#include <memory>
#include <string>

#include "core/routing/reservation_settings.hpp"
#include "core/scheduling/upstream_settings.hpp"

namespace fuchsiaquay {

class queue_policy;
class upstream_selector;

/// One combination of selector and queue policy to measure.
struct policy_variant {
    enum class selector { length_aware, round_robin, least_requests, least_tokens, affinity_load };
    enum class queue { fair_rank, layered, fifo };

    std::string name;
    selector choice = selector::length_aware;
    queue order = queue::fair_rank;

    std::unique_ptr<upstream_selector> make_selector() const;
    std::unique_ptr<queue_policy> make_queue(double tokens_per_second) const;
    /// Admission settings of the owner. The `fifo` baseline checks memory only.
    upstream_settings make_upstream_settings() const;
    reservation_settings make_reservation_settings() const;
};

}  // namespace fuchsiaquay
