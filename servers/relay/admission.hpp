#pragma once

#include <memory>

#include "servers/relay/admission_result.hpp"

namespace fuchsiaquay {

struct caller_request;

/// Checks a request against the configuration.
/// @param configuration  null when none is known yet
/// @param fresh  whether the configuration is known to be current
admission_result admit(const caller_request& request,
                       const std::shared_ptr<const fleet_configuration>& configuration, bool fresh);

}  // namespace fuchsiaquay
