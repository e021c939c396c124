#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Limit that a request exceeds.
enum class limit_kind { none, requests, tokens, concurrency };

/// Decision whether a request of a customer may start now.
struct limit_verdict {
    limit_kind reached = limit_kind::none;
    /// Time after which to retry; zero if admitted.
    duration retry_after{};

    bool admitted() const noexcept { return reached == limit_kind::none; }
};

/// Name of a limit in logs and error codes.
constexpr const char* to_text(limit_kind kind) {
    switch (kind) {
        case limit_kind::none:
            return "none";
        case limit_kind::requests:
            return "requests_per_second";
        case limit_kind::tokens:
            return "tokens_per_second";
        case limit_kind::concurrency:
            return "concurrent_requests";
    }
    return "unknown";
}

}  // namespace fuchsiaquay
