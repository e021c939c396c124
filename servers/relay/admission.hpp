#pragma once

#include <memory>

#include "servers/relay/admission_result.hpp"

namespace fuchsiaquay {

struct caller_request;

/// Checks a request against the configuration and resolves its route, service and customer.
/// @param configuration  null until the first one is loaded
/// @param up_to_date  whether the configuration is known to be current
admission_result admit(const caller_request& request,
                       const std::shared_ptr<const fleet_configuration>& configuration,
                       bool up_to_date);

}  // namespace fuchsiaquay
