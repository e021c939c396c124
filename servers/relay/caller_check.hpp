#pragma once

#include <optional>

#include "servers/relay/rejection.hpp"

namespace fuchsiaquay {

/// What is known of a caller from the head of its request.
struct caller_check {
    /// Set if its key is not in the configuration, which is current.
    std::optional<rejection> refused;
    /// Whether the configuration allows the caller to send requests.
    bool confirmed = true;
};

}  // namespace fuchsiaquay
