#pragma once

#include <cstdint>
#include <map>

#include "core/identity/names.hpp"
#include "core/messages/reserve_reply.hpp"
#include "core/routing/routing_candidate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Load of the upstreams as known to one entry host: the last reply of each owner,
/// extrapolated to the current time, and the host's own outstanding work.
class upstream_loads {
public:
    /// @param tokens_per_second  assumed speed at which queued work is processed
    explicit upstream_loads(double tokens_per_second);

    void add_upstream(const upstream_id& upstream, std::int64_t memory_tokens);
    void remove_upstream(const upstream_id& upstream);
    /// Updates the load from the reply of an owner.
    void observe(const reserve_reply& reply, instant now);
    /// Records the start and the end of own work on an upstream.
    void started(const upstream_id& upstream, std::int64_t tokens);
    void ended(const upstream_id& upstream, std::int64_t tokens);
    /// Returns the upstream as a candidate, without `cached_tokens`.
    routing_candidate candidate(const upstream_id& upstream, instant now) const;

private:
    struct entry {
        routing_candidate last_known;
        instant observed_at{};
    };

    double tokens_per_second_;
    std::map<upstream_id, entry> entries_;
};

}  // namespace fuchsiaquay
