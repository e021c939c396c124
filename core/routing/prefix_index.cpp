#include "core/routing/prefix_index.hpp"

#include <algorithm>

namespace fuchsiaquay {
namespace {

/// A prefix that was not used for this time is considered evicted.
constexpr duration entry_lifetime = std::chrono::minutes(5);
constexpr std::size_t max_entries = 4096;
/// Trust lost for each missing event, and rate at which reports adjust the trust.
constexpr double gap_penalty = 0.002;
constexpr double trust_learning_rate = 0.1;
constexpr double min_trust = 0.1;
/// Entries of an upstream with less trust than this are ignored.
constexpr double min_usable_trust = 0.3;

}  // namespace

void prefix_index::stored(const upstream_id& upstream,
                          const std::vector<std::uint64_t>& prefix_hashes, instant now) {
    upstream_entries& entries = upstreams_[upstream];
    if (entries.prefixes.size() + prefix_hashes.size() > max_entries) {
        evict_old(entries, now);
    }
    for (const std::uint64_t hash : prefix_hashes) {
        entries.prefixes[hash] = now;
    }
}

void prefix_index::evicted(const upstream_id& upstream, std::uint64_t prefix_hash) {
    upstreams_[upstream].prefixes.erase(prefix_hash);
}

void prefix_index::on_cache_event(const upstream_id& upstream, std::uint64_t event_id) {
    upstream_entries& entries = upstreams_[upstream];
    if (event_id > entries.last_event + 1 && entries.last_event > 0) {
        const auto missing = static_cast<double>(event_id - entries.last_event - 1);
        entries.trust = std::max(entries.trust - gap_penalty * missing, min_trust);
    }
    entries.last_event = std::max(entries.last_event, event_id);
}

void prefix_index::adjust_trust(const upstream_id& upstream, std::int64_t expected_tokens,
                                std::int64_t reported_tokens) {
    if (expected_tokens <= 0) {
        return;
    }
    const double reported_ratio =
        std::min(static_cast<double>(reported_tokens) / static_cast<double>(expected_tokens), 1.0);
    double& trust = upstreams_[upstream].trust;
    trust = std::max(trust + trust_learning_rate * (reported_ratio - trust), min_trust);
}

std::int64_t prefix_index::expected_tokens(const upstream_id& upstream,
                                           const std::vector<std::uint64_t>& prefix_hashes,
                                           instant now) const {
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return 0;
    }
    const upstream_entries& entries = found->second;
    if (entries.trust < min_usable_trust) {
        return 0;
    }
    std::int64_t tokens = 0;
    for (const std::uint64_t hash : prefix_hashes) {
        const auto entry = entries.prefixes.find(hash);
        if (entry == entries.prefixes.end() || now - entry->second > entry_lifetime) {
            break;
        }
        tokens += block_tokens;
    }
    return static_cast<std::int64_t>(static_cast<double>(tokens) * entries.trust);
}

void prefix_index::evict_old(upstream_entries& entries, instant now) {
    for (auto it = entries.prefixes.begin(); it != entries.prefixes.end();) {
        it = now - it->second > entry_lifetime / 2 ? entries.prefixes.erase(it) : std::next(it);
    }
    if (entries.prefixes.size() > max_entries / 2) {
        entries.prefixes.clear();
    }
}

}  // namespace fuchsiaquay
