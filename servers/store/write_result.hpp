#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// What is known after a write was tried.
enum class write_outcome {
    /// The conditions held and the writes are durable.
    applied,
    /// A condition did not hold; nothing was written.
    conflict,
    /// No answer: it may have taken effect, now or later.
    unknown,
};

/// Answer to a transaction.
struct write_result {
    write_outcome outcome = write_outcome::unknown;
    /// Revision of the write when applied.
    std::int64_t revision = 0;
    std::string failure;
};

}  // namespace fuchsiaquay
