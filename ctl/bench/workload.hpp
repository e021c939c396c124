#pragma once

#include <cstdint>
#include <vector>

#include "ctl/bench/workload_profile.hpp"
#include "ctl/bench/workload_request.hpp"
#include "ctl/bench/workload_scenario.hpp"

namespace fuchsiaquay {

/// Requests of a scenario in order of arrival. Each customer, level and length class draws from a
/// generator of its own, so that leaving one out or multiplying it changes no other.
std::vector<workload_request> generate_workload(const workload_profile& profile,
                                                const workload_scenario& scenario,
                                                std::uint64_t seed);

/// Mean work in tokens that the profile asks of its assistant engines for each second.
double offered_tokens_per_second(const workload_profile& profile);

}  // namespace fuchsiaquay
