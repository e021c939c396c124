#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay::scenarios {

/// How one attempt of a call at one node ended, as its caller saw it.
enum class attempt_end {
    /// The complete answer arrived.
    answered,
    /// An error reply that says "not run".
    not_run,
    /// An error reply that says that the call ran or may have run.
    failed,
    /// The connection could not be opened.
    unreachable,
    /// The connection closed before the answer was complete.
    cut,
    /// The caller's timeout expired.
    timed_out
};

/// One attempt of a call. Times are wall clock milliseconds.
struct attempt {
    std::string node;
    std::int64_t start_ms = 0;
    std::int64_t end_ms = 0;
    attempt_end end = attempt_end::answered;
    int status = 0;
    /// Stable code of the error reply; empty without one.
    std::string error_code;
    /// Number of end markers in the stream; 1 for a plain answer.
    int ends_seen = 0;
    /// True when the directory response that named the node was still valid.
    bool directory_valid = true;
};

}  // namespace fuchsiaquay::scenarios
