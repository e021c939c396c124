#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Prompts with more tokens than this are long.
inline constexpr std::int64_t long_prompt_tokens = 32'768;

/// One customer of a profile.
struct workload_customer {
    std::string name;
    /// Weight in its contract; its share of the traffic is proportional to it.
    double weight = 1.0;
};

/// One rank of a profile; its level is its index.
struct workload_rank {
    std::string name;
    double floor_share = 0.0;
    /// Share of the short requests.
    double traffic_share = 0.0;
    duration deadline{};
    /// Deadline of its long prompts.
    duration long_deadline{};
};

/// Describes one deployment: fleet, customers, ranks, traffic.
struct workload_profile {
    std::string name;
    std::size_t assistant_engines = 0;
    std::size_t ordering_engines = 0;
    std::size_t entry_hosts = 0;
    /// Ordered by weight, largest first.
    std::vector<workload_customer> customers;
    std::vector<workload_rank> ranks;
    /// Requests per second to the assistant engines and to the ordering engines.
    double assistant_rate = 0.0;
    double ordering_rate = 0.0;
    /// Mean answer length in tokens.
    double mean_output_tokens = 150.0;
};

/// Sporebox Labs: 15 assistant and 3 ordering engines, 8 entry hosts.
workload_profile sporebox_profile();
/// Régie Municipale de Froid de Fès: 20 assistant and 3 ledger engines, 9 entry hosts.
workload_profile regie_profile();

}  // namespace fuchsiaquay
