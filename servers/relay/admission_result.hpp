#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/fleet/fleet_configuration.hpp"
#include "servers/relay/rejection.hpp"

namespace fuchsiaquay {

/// Terms under which a request is served, or why it is not.
struct admission_result {
    std::optional<rejection> refused;
    /// Keeps `terms` and `service` alive.
    std::shared_ptr<const fleet_configuration> configuration;
    const route* matched_route = nullptr;
    const service_profile* service = nullptr;
    std::string service_name;
    std::string customer;
    int rank = 0;
};

}  // namespace fuchsiaquay
