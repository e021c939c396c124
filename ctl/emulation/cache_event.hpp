#pragma once

#include <cstdint>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A change of an engine's prefix cache. Ids grow by one; a lost event leaves a gap.
struct cache_event {
    enum class kind { stored, evicted };
    std::uint64_t id = 0;
    kind type = kind::stored;
    /// Hash of the whole prefix up to the end of the block.
    std::uint64_t prefix_hash = 0;
    /// Length of that prefix in tokens.
    std::int64_t tokens = 0;
    /// Time from which the event is visible to readers.
    instant visible_at{};
};

}  // namespace fuchsiaquay
