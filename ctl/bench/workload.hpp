#pragma once

#include <cstdint>
#include <vector>

#include "ctl/bench/workload_profile.hpp"
#include "ctl/bench/workload_request.hpp"
#include "ctl/bench/workload_scenario.hpp"

namespace fuchsiaquay {

/// Generates the requests of a scenario in order of arrival. Each combination of customer, level
/// and length class has its own random generator, so that removing or scaling one changes no other.
std::vector<workload_request> generate_workload(const workload_profile& profile,
                                                const workload_scenario& scenario,
                                                std::uint64_t seed);

/// Mean load of the profile on its assistant engines, in tokens per second.
double offered_tokens_per_second(const workload_profile& profile);

}  // namespace fuchsiaquay
