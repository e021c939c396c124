#pragma once

#include <cstdint>
#include <map>

#include "core/identity/names.hpp"
#include "core/messages/reserve_reply.hpp"
#include "core/routing/routing_candidate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What one entry host knows of the load of the upstreams: the last reply of each owner, brought
/// forward in time, and its own work since.
class upstream_loads {
public:
    /// @param tokens_per_second  speed at which known work is taken to shrink
    explicit upstream_loads(double tokens_per_second);

    void add_upstream(const upstream_id& upstream, std::int64_t memory_tokens);
    void remove_upstream(const upstream_id& upstream);
    /// Takes in the load that an owner's reply carries.
    void observe(const reserve_reply& reply, instant now);
    /// Own work sent to an upstream, and its end.
    void started(const upstream_id& upstream, std::int64_t tokens);
    void ended(const upstream_id& upstream, std::int64_t tokens);
    /// The upstream as a candidate, without `cached_tokens`.
    routing_candidate candidate(const upstream_id& upstream, instant now) const;

private:
    struct entry {
        routing_candidate known;
        instant observed_at{};
    };

    double tokens_per_second_;
    std::map<upstream_id, entry> entries_;
};

}  // namespace fuchsiaquay
