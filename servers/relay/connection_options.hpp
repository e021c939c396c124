#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// How an exchange obtains its connection to the upstream.
struct connection_options {
    /// Do not reuse a connection, which the upstream may have closed.
    bool new_connection = false;
    /// Time limit for establishing a connection.
    duration connect_timeout{};
};

}  // namespace fuchsiaquay
