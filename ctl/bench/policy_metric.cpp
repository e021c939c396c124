#include "ctl/bench/policy_metric.hpp"

namespace fuchsiaquay {

const std::vector<policy_metric>& policy_metrics() {
    static const std::vector<policy_metric> metrics{
        {"short_p95_ratio", "short first token p95, with long mix / without", 1.15, true},
        {"short_p99_ratio", "short first token p99, with long mix / without", 1.3, true},
        {"urgent_flood_ratio", "urgent first token p95, flood of least urgent / none", 1.1, true},
        {"floor_served", "least served other rank / its floor, flood of most urgent", 0.97, false},
        {"small_p95_ratio", "small customers' first token p95, tenfold large / alone", 1.15, true},
        {"small_refused", "small customers refused or failed, part of their requests", 0.0, true},
        {"late_answers", "admitted requests that ended after their deadline", 0.0, true},
        {"overload_useful", "useful tokens at 2x overload / capacity", 0.9, false},
        {"wrong_refusals", "refusals that would have finished, part of those tried", 0.05, true},
        {"long_finished", "long prompts finished in the mix, part of them", 0.97, false},
        {"lost_memory", "engine memory in use after all ended, tokens", 0.0, true},
    };
    return metrics;
}

}  // namespace fuchsiaquay
