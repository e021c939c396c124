#include "core/health/circuit_breaker.hpp"

#include <algorithm>

namespace fuchsiaquay {

circuit_breaker::circuit_breaker(const breaker_settings& settings) : settings_(settings) {}

breaker_state circuit_breaker::state(instant now) const {
    if (!open_) {
        return breaker_state::closed;
    }
    return now < open_until_ ? breaker_state::open : breaker_state::half_open;
}

bool circuit_breaker::allows(instant now) const {
    switch (state(now)) {
        case breaker_state::closed:
            return true;
        case breaker_state::open:
            return false;
        case breaker_state::half_open:
            return trials_ < settings_.max_trials || trials_timed_out(now);
    }
    return false;
}

void circuit_breaker::on_sent(instant now) {
    if (state(now) != breaker_state::half_open) {
        return;
    }
    if (trials_timed_out(now)) {
        trials_ = 0;
    }
    ++trials_;
    last_trial_ = now;
}

void circuit_breaker::on_result(attempt_evidence evidence, instant now) {
    const breaker_state before = state(now);
    if (evidence == attempt_evidence::answered) {
        // An answer to a request that was sent before the circuit opened does not prove a recovery.
        if (before != breaker_state::open) {
            close();
        }
        return;
    }
    if (evidence == attempt_evidence::stalled_reused_connection) {
        // The trial was inconclusive; another may follow on a new connection.
        trials_ = std::max(0, trials_ - 1);
        return;
    }
    if (before == breaker_state::half_open) {
        // Failures of requests sent before the circuit opened are not results of a trial.
        if (trials_ > 0) {
            open(now);
        }
        return;
    }
    ++failures_;
    const bool certain = evidence == attempt_evidence::refused;
    if (before == breaker_state::closed && (certain || failures_ >= settings_.failure_threshold)) {
        open(now);
    }
}

void circuit_breaker::open(instant now) {
    const duration longer = std::max(settings_.open_min, open_time_ * 2);
    open_time_ = std::min(longer, settings_.open_max);
    open_until_ = now + open_time_;
    open_ = true;
    trials_ = 0;
}

void circuit_breaker::close() {
    open_ = false;
    failures_ = 0;
    trials_ = 0;
    open_time_ = duration::zero();
}

bool circuit_breaker::trials_timed_out(instant now) const {
    return trials_ > 0 && now >= last_trial_ + settings_.trial_timeout;
}

}  // namespace fuchsiaquay
