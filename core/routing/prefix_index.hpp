#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Tracks which prompt prefixes the upstreams probably have cached. The sources are own dispatches
/// and cache events, which can be delayed or lost. Entries expire, and the cached tokens that an
/// upstream reports adjust the trust in its entries.
class prefix_index {
public:
    /// Size of a cache block in tokens.
    static constexpr std::int64_t block_tokens = 1024;

    /// Adds the prefixes of a prompt that was sent to an upstream, or of a cache event.
    void stored(const upstream_id& upstream, const std::vector<std::uint64_t>& prefix_hashes,
                instant now);
    void evicted(const upstream_id& upstream, std::uint64_t prefix_hash);
    /// Checks the sequence of event ids of an upstream. Missing ids lower the trust in its entries.
    void on_cache_event(const upstream_id& upstream, std::uint64_t event_id);
    /// Adjusts the trust in an upstream by the ratio of reported to expected cached tokens.
    void adjust_trust(const upstream_id& upstream, std::int64_t expected_tokens,
                      std::int64_t reported_tokens);
    /// Expected number of cached tokens, multiplied by the trust.
    std::int64_t expected_tokens(const upstream_id& upstream,
                                 const std::vector<std::uint64_t>& prefix_hashes,
                                 instant now) const;

private:
    struct upstream_entries {
        std::unordered_map<std::uint64_t, instant> prefixes;
        double trust = 1.0;
        std::uint64_t last_event = 0;
    };

    static void evict_old(upstream_entries& entries, instant now);

    std::map<upstream_id, upstream_entries> upstreams_;
};

}  // namespace fuchsiaquay
