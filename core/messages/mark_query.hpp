#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Asks the host that wrote a journal mark whether it ever called the service under that mark.
struct mark_query {
    std::uint32_t shard = 0;
    /// Unique id of one append, see core/journal.
    std::string mark;
    host_id asker;

    friend bool operator==(const mark_query& a, const mark_query& b) {
        return std::tie(a.shard, a.mark, a.asker) == std::tie(b.shard, b.mark, b.asker);
    }
    friend bool operator!=(const mark_query& a, const mark_query& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
