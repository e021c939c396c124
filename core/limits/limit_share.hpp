#pragma once

#include <tuple>

namespace fuchsiaquay {

/// Part of the limits of a customer that one host goes by. Negative: no ceiling.
struct limit_share {
    /// Requests a second.
    double requests = 0.0;
    /// Tokens a second.
    double tokens = 0.0;
    /// Requests at once; the part after the point is not used.
    double concurrency = 0.0;

    friend bool operator==(const limit_share& a, const limit_share& b) {
        return std::tie(a.requests, a.tokens, a.concurrency) ==
               std::tie(b.requests, b.tokens, b.concurrency);
    }
    friend bool operator!=(const limit_share& a, const limit_share& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
