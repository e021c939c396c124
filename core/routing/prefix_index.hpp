#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Which prompt prefixes the upstreams are taken to have cached: from own dispatches and from
/// cache events, which come late and with gaps. Entries expire; what an upstream reports as cached
/// corrects the trust in its entries.
class prefix_index {
public:
    /// Tokens of one cache block.
    static constexpr std::int64_t block_tokens = 1024;

    /// A prompt was sent to an upstream, or a cache event says it stored a prefix.
    void stored(const upstream_id& upstream, const std::vector<std::uint64_t>& prefix_hashes,
                instant now);
    void evicted(const upstream_id& upstream, std::uint64_t prefix_hash);
    /// Ids of the events of one upstream grow by one; a gap lowers the trust in its entries.
    void on_cache_event(const upstream_id& upstream, std::uint64_t event_id);
    /// What the engine reported against what was expected.
    void adjust_trust(const upstream_id& upstream, std::int64_t expected_tokens,
                      std::int64_t reported_tokens);
    /// Tokens expected to be cached, scaled by trust.
    std::int64_t expected_tokens(const upstream_id& upstream,
                                 const std::vector<std::uint64_t>& prefix_hashes,
                                 instant now) const;

private:
    struct upstream_entries {
        std::unordered_map<std::uint64_t, instant> prefixes;
        double trust = 1.0;
        std::uint64_t last_event = 0;
    };

    static void drop_old(upstream_entries& entries, instant now);

    std::map<upstream_id, upstream_entries> upstreams_;
};

}  // namespace fuchsiaquay
