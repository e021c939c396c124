#include "ctl/emulation/prefix_cache.hpp"

#include <algorithm>
#include <string_view>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {
namespace {

constexpr std::size_t max_events = 4096;
constexpr double hash_range = 18446744073709551616.0;  // 2^64

}  // namespace

prefix_cache::prefix_cache(duration event_delay, double event_loss, std::uint64_t seed)
    : event_delay_(event_delay), event_loss_(event_loss), seed_(seed) {}

std::int64_t prefix_cache::match(const std::vector<std::uint64_t>& prefix_hashes) {
    std::int64_t matched = 0;
    for (const std::uint64_t hash : prefix_hashes) {
        const auto found = index_.find(hash);
        if (found == index_.end()) {
            break;
        }
        blocks_.splice(blocks_.begin(), blocks_, found->second);
        matched += cache_block_tokens;
    }
    return matched;
}

void prefix_cache::store(const std::vector<std::uint64_t>& prefix_hashes, std::int64_t limit_tokens,
                         instant now) {
    std::int64_t prefix_tokens = 0;
    for (const std::uint64_t hash : prefix_hashes) {
        prefix_tokens += cache_block_tokens;
        if (prefix_tokens > limit_tokens) {
            break;
        }
        const auto found = index_.find(hash);
        if (found != index_.end()) {
            blocks_.splice(blocks_.begin(), blocks_, found->second);
            continue;
        }
        blocks_.push_front(block{hash, prefix_tokens});
        index_[hash] = blocks_.begin();
        publish(cache_event::kind::stored, blocks_.front(), now);
    }
    shrink(limit_tokens, now);
}

void prefix_cache::shrink(std::int64_t limit_tokens, instant now) {
    while (tokens() > std::max<std::int64_t>(limit_tokens, 0)) {
        publish(cache_event::kind::evicted, blocks_.back(), now);
        index_.erase(blocks_.back().hash);
        blocks_.pop_back();
    }
}

std::int64_t prefix_cache::tokens() const noexcept {
    return static_cast<std::int64_t>(blocks_.size()) * cache_block_tokens;
}

std::vector<cache_event> prefix_cache::events(std::uint64_t after, instant now) const {
    std::vector<cache_event> visible;
    for (const cache_event& event : events_) {
        if (event.id > after && event.visible_at <= now) {
            visible.push_back(event);
        }
    }
    return visible;
}

void prefix_cache::publish(cache_event::kind type, const block& changed, instant now) {
    const std::uint64_t id = ++last_event_;
    const std::string_view bytes(reinterpret_cast<const char*>(&id), sizeof id);
    if (static_cast<double>(stable_hash(bytes, seed_)) < event_loss_ * hash_range) {
        return;
    }
    if (events_.size() >= max_events) {
        events_.erase(events_.begin(), events_.begin() + max_events / 2);
    }
    events_.push_back(
        cache_event{id, type, changed.hash, changed.prefix_tokens, now + event_delay_});
}

}  // namespace fuchsiaquay
