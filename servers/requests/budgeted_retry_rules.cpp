#include "servers/requests/budgeted_retry_rules.hpp"

#include <optional>

#include "servers/requests/request_flow.hpp"

namespace fuchsiaquay {

budgeted_retry_rules::budgeted_retry_rules(const retry_settings& settings, std::uint64_t seed)
    : policy_(settings, seed) {}

void budgeted_retry_rules::first_attempt(const request_flow& flow, instant now) {
    policy_.on_request(flow.terms->customer, now);
}

bool budgeted_retry_rules::allow(const request_flow& flow, const attempt_result& failed,
                                 instant now, duration& delay) {
    const std::optional<duration> next = policy_.next_retry_delay(
        flow.terms->customer, flow.attempts, failed.ran, flow.repeatable, flow.deadline - now, now);
    delay = next.value_or(duration::zero());
    return next.has_value();
}

}  // namespace fuchsiaquay
