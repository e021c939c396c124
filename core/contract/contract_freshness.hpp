#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What a node can say about its contracts.
enum class contract_sync_state {
    /// Never complete since the start: the node must not serve.
    catching_up,
    /// Proved to be the latest within the freshness limit.
    current,
    /// Complete once, but not proved to be the latest lately: the node serves on and says so.
    unproved,
    /// A newer revision is known to exist and has not arrived.
    behind,
};

/// Standing of the contracts of a node at one moment.
struct contract_freshness {
    contract_sync_state sync_state = contract_sync_state::catching_up;
    /// Every change up to this store revision is known.
    std::int64_t complete_revision = 0;
    /// Highest revision that this node has heard of.
    std::int64_t known_revision = 0;
    /// Time since the contracts were last proved to be the latest; 0 while catching up.
    duration age{};
};

/// Name of a standing for logs and operators.
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
