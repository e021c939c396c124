#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// How up to date the contracts of a node are.
enum class contract_sync_state {
    /// The contracts have not been complete since the start. The node must not serve.
    catching_up,
    /// The contracts were verified to be the latest within the freshness limit.
    current,
    /// The contracts were complete, but the last verification is older than the freshness limit.
    /// The node keeps serving and reports this state.
    unproved,
    /// A newer revision is known to exist but has not arrived.
    behind,
};

/// Synchronisation state of the contracts of a node at one point in time.
struct contract_freshness {
    contract_sync_state sync_state = contract_sync_state::catching_up;
    /// Every change up to this store revision is known.
    std::int64_t complete_revision = 0;
    /// Highest revision that this node knows to exist.
    std::int64_t known_revision = 0;
    /// Time since the contracts were last verified to be the latest; 0 while catching up.
    duration age{};
};

/// Name of a state for logs and operators.
constexpr const char* to_text(contract_sync_state sync_state) {
    switch (sync_state) {
        case contract_sync_state::catching_up:
            return "catching_up";
        case contract_sync_state::current:
            return "current";
        case contract_sync_state::unproved:
            return "unproved";
        case contract_sync_state::behind:
            return "behind";
    }
    return "unknown";
}

}  // namespace fuchsiaquay
