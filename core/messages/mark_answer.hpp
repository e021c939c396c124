#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/messages/mark_use.hpp"

namespace fuchsiaquay {

/// Answer to a `mark_query`.
struct mark_answer {
    std::uint32_t shard = 0;
    std::string mark;
    mark_use use = mark_use::unknown;

    friend bool operator==(const mark_answer& a, const mark_answer& b) {
        return std::tie(a.shard, a.mark, a.use) == std::tie(b.shard, b.mark, b.use);
    }
    friend bool operator!=(const mark_answer& a, const mark_answer& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
