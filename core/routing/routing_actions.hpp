#pragma once

#include <optional>
#include <vector>

#include "core/messages/grant_release.hpp"
#include "core/messages/grant_renewal.hpp"
#include "core/messages/reserve_request.hpp"
#include "core/routing/routing_outcome.hpp"

namespace fuchsiaquay {

/// What an entry host has to send, and the outcome once there is one.
struct routing_actions {
    std::vector<reserve_request> reserves;
    std::vector<grant_release> releases;
    std::vector<grant_renewal> renewals;
    /// Parts of a group that were granted while others are awaited; their prefill may start now, to
    /// be cancelled when the outcome is not granted.
    std::vector<reserve_reply> early_grants;
    std::optional<routing_outcome> outcome;
};

}  // namespace fuchsiaquay
