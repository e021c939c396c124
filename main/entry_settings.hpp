#pragma once

#include <string>
#include <vector>

#include "core/fleet/network_address.hpp"
#include "core/fleet/serving_settings.hpp"
#include "core/retry/fleet_retry_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct setting_definition;

/// Settings of `fuchsiaquay entry`. Made by `load_entry_settings`.
struct entry_settings {
    std::string host;
    std::string data_centre;
    network_address callers;
    network_address readiness;
    network_address directory;
    network_address metrics;
    network_address announcements;
    network_address store;
    /// A revoked key, or a dropped route, is refused within this time of the change.
    duration revocation_bound{};
    /// Time from the request to stop until the process is ended.
    duration stop_grace{};
    /// How long callers may keep a directory answer.
    duration directory_lifetime{};
    std::size_t memory_bytes = 0;
    /// Processor cores that the process may use.
    double processor_share = 1.0;
    serving_settings serving;
    fleet_retry_settings retries;
    std::string log_level;
};

const std::vector<setting_definition>& entry_setting_definitions();

/// @throws settings_error  with one line for each fault
entry_settings load_entry_settings(const std::string& file,
                                   const std::vector<std::string>& overrides);

}  // namespace fuchsiaquay
