#pragma once

#include <cstdint>
#include <set>

#include "core/time/clock.hpp"
#include "ctl/bench/policy_variant.hpp"
#include "ctl/bench/workload_profile.hpp"
#include "ctl/bench/workload_scenario.hpp"
#include "ctl/emulation/engine_settings.hpp"

namespace fuchsiaquay {

/// One run in virtual time.
struct experiment_settings {
    workload_profile profile;
    workload_scenario scenario;
    policy_variant variant;
    std::uint64_t seed = 1;
    engine_settings engine;
    /// One way between hosts, and between hosts and engines.
    duration latency = std::chrono::milliseconds(1);
    /// Between two looks of an owner at its engine.
    duration poll_interval = std::chrono::milliseconds(100);
    duration renewal_interval = std::chrono::seconds(3);
    /// Requests that owners are told to have unlimited time; their real deadline still counts.
    std::set<std::size_t> unlimited_time_requests;
};

}  // namespace fuchsiaquay
