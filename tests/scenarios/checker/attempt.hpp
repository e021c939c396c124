#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay::scenarios {

/// How one attempt of a call at one node ended, as its caller saw it.
enum class attempt_end {
    /// The whole answer came.
    answered,
    /// An error reply that says "not run".
    not_run,
    /// An error reply that says that it may have run, or did.
    failed,
    /// The connection could not be opened.
    unreachable,
    /// The connection ended before the answer did.
    cut,
    /// The caller gave up waiting.
    timed_out
};

/// One attempt of a call. Times are wall clock milliseconds.
struct attempt {
    std::string node;
    std::int64_t start_ms = 0;
    std::int64_t end_ms = 0;
    attempt_end end = attempt_end::answered;
    int status = 0;
    /// Stable code of the error reply, empty where there was none.
    std::string error_code;
    /// How many end marks the stream carried; 1 for a plain answer.
    int ends_seen = 0;
    /// The node's directory answer that led here was still valid.
    bool directory_valid = true;
};

}  // namespace fuchsiaquay::scenarios
