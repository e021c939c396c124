#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// What became of an attempt to change a contract.
enum class edit_outcome {
    /// Durable in the store.
    accepted,
    /// The contract already had this text; nothing was written.
    unchanged,
    /// The contract is at another revision than the operator meant.
    conflict,
    /// There is no such contract.
    missing,
    /// The text breaks a rule.
    invalid,
    /// The store did not answer before anything was written.
    unavailable,
    /// No answer to the write, and none when reading back: it may be accepted, or still be.
    unknown,
};

/// Answer to an attempt to change a contract.
struct edit_result {
    edit_outcome outcome = edit_outcome::unavailable;
    /// Revision of the contract now, as far as known; 0 when there is none.
    std::int64_t revision = 0;
    /// Text of the contract now; with a conflict the one that the operator has to look at.
    std::string document;
    /// What went wrong, for the operator.
    std::string message;
};

}  // namespace fuchsiaquay
