#pragma once

#include <optional>
#include <string>

#include "core/fleet/network_address.hpp"
#include "core/relay/response_head.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Head of an upstream's response and what it reports about the request.
struct upstream_response {
    response_head head;
    /// The upstream reports that it did not execute the request.
    bool not_executed = false;
    /// The address now belongs to another upstream, which did not execute the request.
    bool misdirected = false;
    /// To callers, the status is the promise that the request did not run and never will.
    bool status_promises_not_run = false;
    /// The upstream is leaving and wants no further requests.
    bool leaving = false;
    /// Time for which an upstream that declined wants no requests from this host.
    duration pause{};
    /// Requests per second that the upstream takes from all hosts together; absent if the response
    /// names no limit.
    std::optional<double> rate_limit;
    /// The response names a limit that is not a decimal number.
    bool rate_limit_malformed = false;
    /// The response contains the upstream's proof of execution.
    bool has_execution_proof = false;
    /// Id of the request that was answered; empty if not reported.
    std::string request;
    /// Responses of this kind report the id of the request if it has one.
    bool reports_request = true;
    /// The upstream that caused a failure if several work on one request; empty if not reported.
    network_address at_fault;

    /// The upstream reports that the request did not run there.
    bool declined() const noexcept { return not_executed || misdirected; }
};

}  // namespace fuchsiaquay
