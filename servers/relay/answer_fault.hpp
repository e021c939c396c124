#pragma once

namespace fuchsiaquay {

/// What is wrong with an answer that began and was not accepted.
enum class answer_fault {
    none,
    /// A status code outside of the protocol.
    invalid_status,
    /// Bytes that are no answer, for example a malformed field name.
    malformed,
    /// The connection ended or was lost before the answer was complete.
    incomplete,
    /// The answer ended with its connection, and the upstream took no other one afterwards.
    unconfirmed,
};

/// Name in metrics.
const char* name_of(answer_fault fault);

}  // namespace fuchsiaquay
