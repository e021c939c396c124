#pragma once

#include <string>

#include "drivers/net/upstream_connection.hpp"

namespace fuchsiaquay {

/// Outcome of opening a connection to an upstream, which has no socket on failure.
struct dial_result {
    upstream_connection connection;
    std::string failure;
    /// Nothing listens at the address of the upstream.
    bool refused = false;
};

}  // namespace fuchsiaquay
