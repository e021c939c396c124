#pragma once

#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct admission_result;
struct caller_request;
struct placement_decision;
struct relay_services;
struct request_result;

/// The log lines of one request: each decision with what decided it and how old that was.
class request_log {
public:
    /// Both outlive the log.
    request_log(const relay_services& services, const caller_request& request)
        : services_(services), request_(request) {}

    void dispatched(const admission_result& admitted, const placement_decision& decision,
                    int attempt) const;
    /// No upstream takes the request now: it waits, or is given up.
    void not_placed(const admission_result& admitted, const placement_decision& decision,
                    int attempts, bool waits) const;
    /// Another request took an engine of `decision` at the same moment: this one chooses again.
    void claim_lost(const placement_decision& decision) const;
    void first_event(const std::string& upstream, duration took, duration expected) const;
    /// @param at_fault  another engine that made the attempt fail; empty for `upstream` itself
    void attempt_failed(const std::string& upstream, const std::string& at_fault, int attempt,
                        const std::string& reason, duration took, bool again) const;
    /// The upstream's answer says that it leaves.
    void upstream_leaves(const std::string& upstream) const;
    /// The upstream declined and wants nothing from this host for `pause`.
    void upstream_pauses(const std::string& upstream, duration pause) const;
    /// This request's stream showed that an engine is slow, or no longer is.
    void pace_changed(const std::string& upstream, double pace) const;
    void ended(const admission_result& admitted, const request_result& ending) const;

private:
    const relay_services& services_;
    const caller_request& request_;
};

}  // namespace fuchsiaquay
