#include "ctl/bench/policy_variant.hpp"

#include "core/routing/affinity_load_selector.hpp"
#include "core/routing/least_requests_selector.hpp"
#include "core/routing/least_tokens_selector.hpp"
#include "core/routing/length_aware_selector.hpp"
#include "core/routing/round_robin_selector.hpp"
#include "core/scheduling/fair_rank_policy.hpp"
#include "core/scheduling/fifo_policy.hpp"
#include "core/scheduling/layered_policy.hpp"

namespace fuchsiaquay {

std::unique_ptr<upstream_selector> policy_variant::make_selector() const {
    switch (choice) {
        case selector::round_robin:
            return std::make_unique<round_robin_selector>();
        case selector::least_requests:
            return std::make_unique<least_requests_selector>();
        case selector::least_tokens:
            return std::make_unique<least_tokens_selector>();
        case selector::affinity_load:
            return std::make_unique<affinity_load_selector>();
        case selector::length_aware:
            break;
    }
    return std::make_unique<length_aware_selector>(length_aware_settings{});
}

std::unique_ptr<queue_policy> policy_variant::make_queue(double tokens_per_second) const {
    if (order == queue::fifo) {
        return std::make_unique<fifo_policy>();
    }
    if (order == queue::layered) {
        return std::make_unique<layered_policy>(tokens_per_second);
    }
    return std::make_unique<fair_rank_policy>(tokens_per_second);
}

upstream_settings policy_variant::make_upstream_settings() const {
    upstream_settings settings;
    if (order == queue::fifo) {
        settings.max_long_prefills = settings.max_running;
        settings.short_memory_tokens = 0;
        settings.floor_memory_share = 0.0;
        settings.dispatch_window = std::chrono::hours(1);
        settings.refuse_early = false;
        settings.service_margin = 0.0;
        settings.long_share = 0.0;
    }
    return settings;
}

reservation_settings policy_variant::make_reservation_settings() const {
    reservation_settings settings;
    if (order == queue::fifo) {
        settings.max_attempts = 1;
    }
    return settings;
}

}  // namespace fuchsiaquay
