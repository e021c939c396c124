#pragma once

#include <memory>

#include "core/freshness/copy_state.hpp"
#include "servers/relay/admission_result.hpp"

namespace fuchsiaquay {

struct caller_request;

/// Checks a request against the configuration and resolves its route, service and customer.
/// @param configuration  null until the first one is loaded
/// @param state  how far the configuration can be relied on
admission_result admit(const caller_request& request,
                       const std::shared_ptr<const fleet_configuration>& configuration,
                       copy_state state);

}  // namespace fuchsiaquay
