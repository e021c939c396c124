#pragma once

#include <string>

#include "core/fleet/network_address.hpp"
#include "core/relay/response_head.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Head of an upstream's answer and what it says about the request.
struct upstream_answer {
    response_head head;
    /// The upstream states that the request did not run.
    bool not_executed = false;
    /// Another upstream has the address now; the request did not run.
    bool misdirected = false;
    /// The upstream leaves: it wants no further requests.
    bool leaving = false;
    /// Time for which an upstream that declined wants no requests of this host.
    duration pause{};
    /// The answer carries the upstream's proof of execution.
    bool has_execution_proof = false;
    /// Id of the request that this answers; empty when it does not say.
    std::string request;
    /// The upstream that is at fault where several work on one request; empty when not told.
    network_address at_fault;
};

}  // namespace fuchsiaquay
