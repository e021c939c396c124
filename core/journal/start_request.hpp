#pragma once

#include <cstdint>
#include <tuple>

#include "core/journal/record_id.hpp"
#include "core/journal/writer_mark.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Request to start one call.
struct start_request {
    record_id record;
    std::uint64_t fingerprint = 0;
    /// Must not have been used before.
    writer_mark mark;
    /// The request is rejected if its start is not durable by then.
    instant deadline;

    friend bool operator==(const start_request& a, const start_request& b) {
        return std::tie(a.record, a.fingerprint, a.mark, a.deadline) ==
               std::tie(b.record, b.fingerprint, b.mark, b.deadline);
    }
    friend bool operator!=(const start_request& a, const start_request& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
