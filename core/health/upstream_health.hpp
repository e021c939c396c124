#pragma once

#include <cstddef>
#include <map>

#include "core/health/circuit_breaker.hpp"
#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Circuit breakers of the upstreams that this node speaks to. An upstream without a failure
/// needs no entry.
class upstream_health {
public:
    explicit upstream_health(const breaker_settings& settings);

    /// True when a request may be sent to `upstream` now.
    bool allows(const upstream_id& upstream, instant now) const;
    breaker_state state(const upstream_id& upstream, instant now) const;
    void on_sent(const upstream_id& upstream, instant now);
    void on_result(const upstream_id& upstream, attempt_evidence evidence, instant now);
    /// Drops what is known about an upstream that is gone.
    void forget(const upstream_id& upstream);
    /// Upstreams with an entry.
    std::size_t size() const noexcept { return breakers_.size(); }

private:
    breaker_settings settings_;
    std::map<upstream_id, circuit_breaker> breakers_;
};

}  // namespace fuchsiaquay
