#pragma once

#include "core/retry/retry_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Budget of retries for one customer. It grows with the customer's requests, so that retries
/// remain a limited fraction of all attempts.
class retry_budget {
public:
    explicit retry_budget(const retry_settings& settings);

    /// Adds the retries for a first attempt to the budget.
    void on_request(instant now);
    /// Consumes one retry. Returns false if the budget is exhausted.
    bool try_take(instant now);
    double remaining(instant now);

private:
    void refill(instant now);

    retry_settings settings_;
    double retries_;
    instant last_{};
};

}  // namespace fuchsiaquay
