#pragma once

#include <cstdint>
#include <vector>

#include "ctl/bench/policy_variant.hpp"
#include "ctl/bench/workload_profile.hpp"

namespace fuchsiaquay {

/// Runs every scenario for one variant, profile and seed; values in the order of
/// `policy_metrics()`.
std::vector<double> measure_policy(const policy_variant& variant, const workload_profile& profile,
                                   std::uint64_t seed);

}  // namespace fuchsiaquay
