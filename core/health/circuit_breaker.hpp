#pragma once

#include "core/health/attempt_evidence.hpp"
#include "core/health/breaker_settings.hpp"
#include "core/health/breaker_state.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Circuit breaker of one upstream, driven by the results of requests. Closed: requests pass;
/// several failures in a row, or one refused connection, open the circuit. Open: no request passes.
/// Half open: a bounded number of concurrent trials pass; the first answer closes the circuit, a
/// failure opens it again for twice the time.
class circuit_breaker {
public:
    explicit circuit_breaker(const breaker_settings& settings);

    breaker_state state(instant now) const;
    /// Returns true if a request may be sent now.
    bool allows(instant now) const;
    /// Records that a request is being sent.
    void on_sent(instant now);
    /// Records the result of a request that was sent.
    void on_result(attempt_evidence evidence, instant now);

private:
    void open(instant now);
    void close();
    bool trials_timed_out(instant now) const;

    breaker_settings settings_;
    int failures_ = 0;
    int trials_ = 0;
    bool open_ = false;
    duration open_time_{};
    instant open_until_{};
    instant last_trial_{};
};

}  // namespace fuchsiaquay
