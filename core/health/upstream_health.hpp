#pragma once

#include <cstddef>
#include <map>

#include "core/health/circuit_breaker.hpp"
#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Circuit breakers of the upstreams to which this host sends requests. An upstream without a
/// failure has no entry.
class upstream_health {
public:
    explicit upstream_health(const breaker_settings& settings);

    /// Returns true if a request may be sent to `upstream` now.
    bool allows(const upstream_id& upstream, instant now) const;
    breaker_state state(const upstream_id& upstream, instant now) const;
    void on_sent(const upstream_id& upstream, instant now);
    void on_result(const upstream_id& upstream, attempt_evidence evidence, instant now);
    /// Removes the entry of an upstream that no longer exists.
    void forget(const upstream_id& upstream);
    /// Removes all entries, because the path to the upstreams has changed.
    void forget_all() { breakers_.clear(); }
    /// Number of upstreams with an entry.
    std::size_t size() const noexcept { return breakers_.size(); }

private:
    breaker_settings settings_;
    std::map<upstream_id, circuit_breaker> breakers_;
};

}  // namespace fuchsiaquay
