#pragma once

#include <string>
#include <vector>

#include "core/fleet/network_address.hpp"
#include "core/fleet/serving_settings.hpp"
#include "core/retry/fleet_retry_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct setting_definition;

/// Settings of `fuchsiaquay entry`, as validated by `load_entry_settings`.
struct entry_settings {
    std::string host;
    std::string data_centre;
    network_address callers;
    network_address readiness;
    network_address directory;
    network_address metrics;
    network_address announcements;
    network_address store;
    /// Time limit within which a revoked key or a removed route is refused.
    duration revocation_bound{};
    /// Time within which a new version of the configuration is in force.
    duration apply_bound{};
    /// Time from the stop signal until the process is killed.
    duration stop_grace{};
    /// How long callers may cache a directory response.
    duration directory_lifetime{};
    std::size_t memory_bytes = 0;
    /// Processor cores that the process may use.
    double processor_share = 1.0;
    serving_settings serving;
    fleet_retry_settings retries;
    std::string log_level;
};

const std::vector<setting_definition>& entry_setting_definitions();

/// Reads and validates the INI file.
/// @throws settings_error  with one line for each invalid setting
entry_settings load_entry_settings(const std::string& file,
                                   const std::vector<std::string>& overrides);

}  // namespace fuchsiaquay
