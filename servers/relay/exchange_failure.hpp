#pragma once

#include <string>

namespace fuchsiaquay {

/// Why an exchange with an upstream ended early.
struct exchange_failure {
    /// False only when no byte of the request left this host.
    bool sent = true;
    /// True when the connection had carried earlier requests.
    bool reused_connection = false;
    std::string reason;
};

}  // namespace fuchsiaquay
