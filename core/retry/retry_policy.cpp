#include "core/retry/retry_policy.hpp"

namespace fuchsiaquay {

retry_policy::retry_policy(const retry_settings& settings, std::uint64_t seed)
    : settings_(settings), backoff_(settings, seed) {}

void retry_policy::on_request(const customer_id& customer, instant now) {
    budget_of(customer).on_request(now);
}

std::optional<duration> retry_policy::next_retry_delay(const customer_id& customer, int attempts,
                                                       execution ran, bool idempotent,
                                                       duration time_left, instant now) {
    if (ran == execution::yes || (ran == execution::maybe && !idempotent)) {
        return std::nullopt;
    }
    if (attempts >= settings_.max_attempts) {
        return std::nullopt;
    }
    const duration delay = backoff_.delay(attempts);
    if (delay >= time_left || !budget_of(customer).try_take(now)) {
        return std::nullopt;
    }
    return delay;
}

void retry_policy::forget(const customer_id& customer) {
    budgets_.erase(customer);
}

retry_budget& retry_policy::budget_of(const customer_id& customer) {
    return budgets_.try_emplace(customer, settings_).first->second;
}

}  // namespace fuchsiaquay
