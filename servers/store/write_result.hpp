#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// Outcome of a write.
enum class write_outcome {
    /// The conditions held and the writes are durable.
    applied,
    /// A condition did not hold; nothing was written.
    conflict,
    /// No answer: the write may have taken effect or may still do so.
    unknown,
};

/// Result of a transaction.
struct write_result {
    write_outcome outcome = write_outcome::unknown;
    /// Revision of the write when applied.
    std::int64_t revision = 0;
    std::string failure;
};

}  // namespace fuchsiaquay
