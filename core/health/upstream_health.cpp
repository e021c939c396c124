#include "core/health/upstream_health.hpp"

namespace fuchsiaquay {

upstream_health::upstream_health(const breaker_settings& settings) : settings_(settings) {}

bool upstream_health::allows(const upstream_id& upstream, instant now) const {
    const auto breaker = breakers_.find(upstream);
    return breaker == breakers_.end() || breaker->second.allows(now);
}

breaker_state upstream_health::state(const upstream_id& upstream, instant now) const {
    const auto breaker = breakers_.find(upstream);
    return breaker == breakers_.end() ? breaker_state::closed : breaker->second.state(now);
}

void upstream_health::on_sent(const upstream_id& upstream, instant now) {
    const auto breaker = breakers_.find(upstream);
    if (breaker != breakers_.end()) {
        breaker->second.on_sent(now);
    }
}

void upstream_health::on_result(const upstream_id& upstream, attempt_evidence evidence,
                                instant now) {
    const auto breaker = breakers_.find(upstream);
    if (breaker == breakers_.end() && evidence == attempt_evidence::answered) {
        return;
    }
    circuit_breaker& known = breakers_.try_emplace(upstream, settings_).first->second;
    known.on_result(evidence, now);
    if (evidence == attempt_evidence::answered && known.state(now) == breaker_state::closed) {
        breakers_.erase(upstream);
    }
}

void upstream_health::forget(const upstream_id& upstream) {
    breakers_.erase(upstream);
}

}  // namespace fuchsiaquay
