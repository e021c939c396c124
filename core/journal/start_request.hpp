#pragma once

#include <cstdint>
#include <tuple>

#include "core/journal/record_id.hpp"
#include "core/journal/writer_mark.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// One call that asks to be started.
struct start_request {
    record_id record;
    std::uint64_t fingerprint = 0;
    /// Never used before.
    writer_mark mark;
    /// The start is given up when it is not durable by then.
    instant deadline;

    friend bool operator==(const start_request& a, const start_request& b) {
        return std::tie(a.record, a.fingerprint, a.mark, a.deadline) ==
               std::tie(b.record, b.fingerprint, b.mark, b.deadline);
    }
    friend bool operator!=(const start_request& a, const start_request& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
