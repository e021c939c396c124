#include "servers/relay/request_log.hpp"

#include <vector>

#include "core/placement/placement_decision.hpp"
#include "core/relay/caller_request.hpp"
#include "servers/decision_log.hpp"
#include "servers/relay/admission_result.hpp"
#include "servers/relay/relay_services.hpp"
#include "servers/relay/request_result.hpp"
#include "servers/store/prefix_mirror.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

namespace {

std::string ms_text(duration value) {
    return std::to_string(to_milliseconds(value));
}

/// Returns the texts, separated by commas.
std::string join(const std::vector<std::string>& texts) {
    std::string result;
    for (const std::string& text : texts) {
        result += (result.empty() ? "" : ",") + text;
    }
    return result;
}

/// Returns the engine ids, separated by commas.
std::string join_engine_ids(const std::vector<placement_part>& parts) {
    std::string ids;
    for (const placement_part& part : parts) {
        ids += (ids.empty() ? "" : ",") + part.engine;
    }
    return ids;
}

}  // namespace

void request_log::dispatched(const admission_result& admitted, const placement_decision& decision,
                             int attempt) const {
    services_.log.write(decision_log::level::info, "request_dispatched",
                        {{"request", request_.id},
                         {"customer", admitted.customer},
                         {"route", admitted.matched_route->name},
                         {"upstream", decision.engine},
                         {"attempt", std::to_string(attempt)},
                         {"reason", decision.reason},
                         {"tokens", std::to_string(request_.prompt_tokens.value_or(0))},
                         {"helpers", join_engine_ids(decision.helpers)},
                         {"waited_ms", ms_text(services_.timers.now() - request_.received_at)},
                         {"first_ms", ms_text(decision.time_to_first_event)},
                         {"configuration", std::to_string(admitted.configuration->version())},
                         {"age_ms", ms_text(services_.configuration_mirror.age())}});
}

void request_log::not_placed(const admission_result& admitted, const placement_decision& decision,
                             int attempts, bool waits) const {
    services_.log.write(decision_log::level::info, "request_not_placed",
                        {{"request", request_.id},
                         {"route", admitted.matched_route->name},
                         {"attempts", std::to_string(attempts)},
                         {"reason", decision.reason},
                         {"waits", waits ? "yes" : "no"},
                         {"tokens", std::to_string(request_.prompt_tokens.value_or(0))},
                         {"ahead", std::to_string(decision.prompts_ahead)},
                         {"customer", admitted.customer},
                         {"share_used", std::to_string(decision.share_used)},
                         {"share_limit", std::to_string(decision.share_limit)},
                         {"retry_ms", ms_text(decision.retry_after)},
                         {"first_ms", ms_text(decision.time_to_first_event)},
                         {"waited_ms", ms_text(services_.timers.now() - request_.received_at)}});
}

void request_log::claim_lost(const placement_decision& decision) const {
    services_.log.write(decision_log::level::info, "claim_lost",
                        {{"request", request_.id},
                         {"upstream", decision.engine},
                         {"helpers", join_engine_ids(decision.helpers)}});
}

void request_log::upstream_leaves(const std::string& upstream) const {
    services_.log.write(decision_log::level::info, "upstream_leaves",
                        {{"request", request_.id}, {"upstream", upstream}});
}

void request_log::upstream_pauses(const std::string& upstream, duration pause) const {
    services_.log.write(
        decision_log::level::info, "upstream_pauses",
        {{"request", request_.id}, {"upstream", upstream}, {"pause_ms", ms_text(pause)}});
}

void request_log::first_event(const std::string& upstream, duration elapsed,
                              duration expected) const {
    services_.log.write(decision_log::level::info, "first_event",
                        {{"request", request_.id},
                         {"upstream", upstream},
                         {"took_ms", ms_text(elapsed)},
                         {"expected_ms", ms_text(expected)}});
}

void request_log::attempt_failed(const std::string& upstream, const std::string& at_fault,
                                 int attempt, const std::string& reason, duration elapsed,
                                 bool will_retry) const {
    services_.log.write(decision_log::level::info, "attempt_failed",
                        {{"request", request_.id},
                         {"upstream", upstream},
                         {"at_fault", at_fault},
                         {"attempt", std::to_string(attempt)},
                         {"reason", reason},
                         {"took_ms", ms_text(elapsed)},
                         {"parts", join(request_.prompt_parts)},
                         {"again", will_retry ? "yes" : "no"}});
}

void request_log::attempt_stalled(const std::string& upstream, int attempt,
                                  duration silence) const {
    services_.log.write(decision_log::level::info, "attempt_stalled",
                        {{"request", request_.id},
                         {"upstream", upstream},
                         {"attempt", std::to_string(attempt)},
                         {"silent_ms", ms_text(silence)}});
}

void request_log::attempt_resumed(const std::string& upstream) const {
    services_.log.write(decision_log::level::info, "attempt_resumed",
                        {{"request", request_.id}, {"upstream", upstream}});
}

void request_log::slowdown_changed(const std::string& upstream, double slowdown) const {
    services_.log.write(decision_log::level::info, "engine_pace",
                        {{"request", request_.id},
                         {"upstream", upstream},
                         {"times_slower", std::to_string(slowdown)}});
}

void request_log::rate_limit_changed(const std::string& upstream,
                                     std::optional<double> limit) const {
    services_.log.write(decision_log::level::info, "upstream_limit",
                        {{"request", request_.id},
                         {"upstream", upstream},
                         {"requests_per_s", limit ? std::to_string(*limit) : "none"}});
}

void request_log::may_be_cold(const std::string& upstream, duration cold_time) const {
    services_.log.write(decision_log::level::info, "upstream_cold",
                        {{"request", request_.id},
                         {"upstream", upstream},
                         {"left_ms", std::to_string(to_milliseconds(cold_time))},
                         {"reason", "answers again after failures"}});
}

void request_log::ended(const admission_result& admitted, const request_result& result) const {
    services_.log.write(
        decision_log::level::info, "request_ended",
        {{"request", request_.id},
         {"route", admitted.matched_route == nullptr ? "" : admitted.matched_route->name},
         {"outcome", result.outcome},
         {"status", std::to_string(result.status)},
         {"reason", result.reason},
         {"detail", result.detail},
         {"upstream", result.upstream},
         {"attempts", std::to_string(result.attempts)},
         {"may_have_run", result.may_have_run ? "yes" : "no"},
         {"events", std::to_string(result.events)},
         {"answer_end", result.answer_end},
         {"configuration_age_ms", ms_text(services_.configuration_mirror.age())},
         {"took_ms", ms_text(services_.timers.now() - request_.received_at)}});
}

}  // namespace fuchsiaquay
