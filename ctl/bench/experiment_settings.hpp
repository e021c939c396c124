#pragma once

#include <cstdint>
#include <set>

#include "core/time/clock.hpp"
#include "ctl/bench/policy_variant.hpp"
#include "ctl/bench/workload_profile.hpp"
#include "ctl/bench/workload_scenario.hpp"
#include "ctl/emulation/engine_settings.hpp"

namespace fuchsiaquay {

/// Settings of one run in virtual time.
struct experiment_settings {
    workload_profile profile;
    workload_scenario scenario;
    policy_variant variant;
    std::uint64_t seed = 1;
    engine_settings engine;
    /// One-way network latency between hosts, and between hosts and engines.
    duration latency = std::chrono::milliseconds(1);
    /// Interval at which an owner polls its engine.
    duration poll_interval = std::chrono::milliseconds(100);
    duration renewal_interval = std::chrono::seconds(3);
    /// Requests for which owners are told an unlimited time; their real deadline still applies.
    std::set<std::size_t> unlimited_time_requests;
};

}  // namespace fuchsiaquay
