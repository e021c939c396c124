#pragma once

#include <string>

#include "core/relay/response_head.hpp"

namespace fuchsiaquay {

/// Head of an upstream's answer and what it says about the request.
struct upstream_answer {
    response_head head;
    /// The upstream states that the request did not run.
    bool not_executed = false;
    /// Another upstream has the address now; the request did not run.
    bool misdirected = false;
    /// The answer carries the upstream's proof of execution.
    bool sealed = false;
    /// Id of the request that this answers; empty when it does not say.
    std::string request;
    /// Upstream address that is at fault where several work on one request; empty otherwise.
    std::string at_fault;
};

}  // namespace fuchsiaquay
