#pragma once

#include <optional>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct admission_result;
struct caller_request;
struct placement_decision;
struct relay_services;
struct request_result;

/// Writes the log lines of one request. Each decision is logged with its inputs and their age.
class request_log {
public:
    /// Both arguments must outlive the log.
    request_log(const relay_services& services, const caller_request& request)
        : services_(services), request_(request) {}

    void dispatched(const admission_result& admitted, const placement_decision& decision,
                    int attempt) const;
    /// Logs that no upstream can take the request now.
    /// @param waits  true if the request keeps waiting, false if it is given up
    void not_placed(const admission_result& admitted, const placement_decision& decision,
                    int attempts, bool waits) const;
    /// Logs that the claim on the engines of `decision` was lost, for example because another
    /// request claimed an engine at the same time. The request is placed again.
    void claim_lost(const placement_decision& decision) const;
    void first_event(const std::string& upstream, duration elapsed, duration expected) const;
    /// @param at_fault  another engine that caused the failure; empty if it was `upstream`
    void attempt_failed(const std::string& upstream, const std::string& at_fault, int attempt,
                        const std::string& reason, duration elapsed, bool will_retry) const;
    /// Logs that an upstream was silent for `silence` and that another one is tried beside it.
    void attempt_stalled(const std::string& upstream, int attempt, duration silence) const;
    /// Logs that the request continues with an upstream that was silent.
    void attempt_resumed(const std::string& upstream) const;
    /// Logs that the upstream announced in its response that it is leaving.
    void upstream_leaves(const std::string& upstream) const;
    /// Logs that the upstream declined and wants no requests from this host for `pause`.
    void upstream_pauses(const std::string& upstream, duration pause) const;
    /// Logs that the upstream named a limit in its response that was not known, or none any more.
    void rate_limit_changed(const std::string& upstream, std::optional<double> limit) const;
    /// Logs that an upstream answered again after failures and counts as cold.
    void may_be_cold(const std::string& upstream, duration cold_time) const;
    /// Logs that this request's stream showed an engine to be slow, or no longer slow.
    void slowdown_changed(const std::string& upstream, double slowdown) const;
    void ended(const admission_result& admitted, const request_result& result) const;

private:
    const relay_services& services_;
    const caller_request& request_;
};

}  // namespace fuchsiaquay
