#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/time/clock.hpp"
#include "ctl/emulation/cache_event.hpp"

namespace fuchsiaquay {

/// Tokens in one block of the prefix cache (4,096 bytes of prompt).
inline constexpr std::int64_t cache_block_tokens = 1024;

/// Least-recently-used cache of prompt prefixes. Publishes its changes late and loses some of them.
class prefix_cache {
public:
    prefix_cache(duration event_delay, double event_loss, std::uint64_t seed);

    /// Length in tokens of the longest stored prefix; marks its blocks as recently used.
    std::int64_t match(const std::vector<std::uint64_t>& prefix_hashes);
    /// Stores the prefixes within `limit_tokens`, evicting the least recently used.
    void store(const std::vector<std::uint64_t>& prefix_hashes, std::int64_t limit_tokens,
               instant now);
    /// Evicts until at most `limit_tokens` are held.
    void shrink(std::int64_t limit_tokens, instant now);

    std::int64_t tokens() const noexcept;
    /// Events with an id above `after` that are visible at `now`, at most the latest 4,096.
    std::vector<cache_event> events(std::uint64_t after, instant now) const;

private:
    struct block {
        std::uint64_t hash = 0;
        std::int64_t prefix_tokens = 0;
    };

    void publish(cache_event::kind type, const block& changed, instant now);

    duration event_delay_;
    double event_loss_;
    std::uint64_t seed_;
    std::uint64_t last_event_ = 0;
    std::list<block> blocks_;  // most recently used first
    std::unordered_map<std::uint64_t, std::list<block>::iterator> index_;
    std::vector<cache_event> events_;
};

}  // namespace fuchsiaquay
