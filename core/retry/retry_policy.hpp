#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "core/identity/names.hpp"
#include "core/request/execution.hpp"
#include "core/retry/backoff.hpp"
#include "core/retry/retry_budget.hpp"
#include "core/retry/retry_settings.hpp"

namespace fuchsiaquay {

/// Decides whether a failed attempt is retried, within a budget for each customer.
class retry_policy {
public:
    retry_policy(const retry_settings& settings, std::uint64_t seed);

    /// Counts the first attempt of a request.
    void on_request(const customer_id& customer, instant now);
    /// Delay before the next attempt. Returns nothing if the request must not be retried: it may
    /// have been executed and is not idempotent, the maximum number of attempts is reached, the
    /// delay would exceed the deadline, or the budget is exhausted.
    /// @param attempts  attempts made so far, at least 1
    std::optional<duration> next_retry_delay(const customer_id& customer, int attempts,
                                             execution ran, bool idempotent, duration time_left,
                                             instant now);
    /// Removes the budget of a customer without a contract.
    void forget(const customer_id& customer);
    std::size_t customers() const noexcept { return budgets_.size(); }

private:
    retry_budget& budget_of(const customer_id& customer);

    retry_settings settings_;
    backoff backoff_;
    std::map<customer_id, retry_budget> budgets_;
};

}  // namespace fuchsiaquay
