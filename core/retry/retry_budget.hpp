#pragma once

#include "core/retry/retry_settings.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Retries that one customer may still make. Grows with its requests, so that retries stay a
/// bounded part of all attempts whatever fails.
class retry_budget {
public:
    explicit retry_budget(const retry_settings& settings);

    /// Counts a first attempt.
    void on_request(instant now);
    /// Takes one retry. False: the budget is spent.
    bool try_take(instant now);
    /// Retries left.
    double remaining(instant now);

private:
    void refill(instant now);

    retry_settings settings_;
    double retries_;
    instant last_{};
};

}  // namespace fuchsiaquay
