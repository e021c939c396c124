#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/fleet/fleet_configuration.hpp"
#include "servers/relay/rejection.hpp"

namespace fuchsiaquay {

/// Result of admission: the route, service and customer of a request, or its rejection.
struct admission_result {
    std::optional<rejection> refused;
    /// Owns the objects that `matched_route` and `service` point to.
    std::shared_ptr<const fleet_configuration> configuration;
    const route* matched_route = nullptr;
    const service_profile* service = nullptr;
    std::string service_name;
    std::string customer;
    int rank = 0;
    /// `engine_account_key` if client accounts compete for the engines of the service; otherwise 0.
    std::uint64_t account = 0;
};

}  // namespace fuchsiaquay
