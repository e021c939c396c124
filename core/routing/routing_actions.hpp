#pragma once

#include <optional>
#include <vector>

#include "core/messages/grant_release.hpp"
#include "core/messages/grant_renewal.hpp"
#include "core/messages/reserve_request.hpp"
#include "core/routing/routing_outcome.hpp"

namespace fuchsiaquay {

/// Messages that an entry host has to send, and the outcome of the reservation if there is one.
struct routing_actions {
    std::vector<reserve_request> reserves;
    std::vector<grant_release> releases;
    std::vector<grant_renewal> renewals;
    /// Parts of a group that were granted before the others. Their prefill may start now and must
    /// be cancelled if the group is not granted.
    std::vector<reserve_reply> early_grants;
    std::optional<routing_outcome> outcome;
};

}  // namespace fuchsiaquay
