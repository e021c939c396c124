#pragma once

#include <string>
#include <tuple>

#include "core/request/execution.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Final answer to a request that is refused.
struct refusal {
    /// HTTP status.
    int status = 0;
    /// Stable code for programs, for example "deadline_unreachable".
    std::string code;
    std::string message;
    execution ran = execution::no;
    /// Time after which to retry; zero if a retry does not help.
    duration retry_after{};

    friend bool operator==(const refusal& a, const refusal& b) {
        return std::tie(a.status, a.code, a.message, a.ran, a.retry_after) ==
               std::tie(b.status, b.code, b.message, b.ran, b.retry_after);
    }
    friend bool operator!=(const refusal& a, const refusal& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
