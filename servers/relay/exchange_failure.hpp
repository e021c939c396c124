#pragma once

#include <string>

#include "servers/relay/answer_fault.hpp"

namespace fuchsiaquay {

/// Describes why an exchange with an upstream failed.
struct exchange_failure {
    /// False only when no byte of the request left this host.
    bool sent = true;
    /// True if the connection had been used for earlier requests.
    bool reused_connection = false;
    std::string reason;
    /// Nothing listens at the address of the upstream.
    bool refused = false;
    /// Set if an answer had begun.
    answer_fault fault = answer_fault::none;
};

}  // namespace fuchsiaquay
