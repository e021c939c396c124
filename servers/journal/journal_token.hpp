#pragma once

#include <cstdint>
#include <tuple>

#include "core/journal/record_id.hpp"
#include "core/journal/writer_mark.hpp"

namespace fuchsiaquay {

/// Permission to make one call once. Returned with `begin_verdict::started`.
struct journal_token {
    std::uint32_t shard = 0;
    record_id record;
    writer_mark mark;

    friend bool operator==(const journal_token& a, const journal_token& b) {
        return std::tie(a.shard, a.record, a.mark) == std::tie(b.shard, b.record, b.mark);
    }
    friend bool operator!=(const journal_token& a, const journal_token& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
