#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// Outcome of an attempt to change a contract.
enum class edit_outcome {
    /// The change is durable in the store.
    accepted,
    /// The contract already had this text; nothing was written.
    unchanged,
    /// The contract does not have the expected revision.
    conflict,
    /// There is no such contract.
    missing,
    /// The text is not a valid contract.
    invalid,
    /// The store did not answer, and nothing was written.
    unavailable,
    /// Neither the write nor reading back got an answer. The change may be in force, now or later.
    unknown,
};

/// Result of an attempt to change a contract.
struct edit_result {
    edit_outcome outcome = edit_outcome::unavailable;
    /// Present revision of the contract as far as known; 0 if there is none.
    std::int64_t revision = 0;
    /// Present text of the contract. After a conflict this is the version to review.
    std::string document;
    /// Error message for the operator.
    std::string message;
};

}  // namespace fuchsiaquay
