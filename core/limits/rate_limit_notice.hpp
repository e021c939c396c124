#pragma once

#include <optional>
#include <string>
#include <tuple>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What an upstream's latest answer to a host said about its limit.
struct rate_limit_notice {
    std::string upstream;
    /// Requests per second that the upstream takes from all hosts together; absent if it names no
    /// limit any more.
    std::optional<double> requests_per_s;
    instant named_at{};

    friend bool operator==(const rate_limit_notice& a, const rate_limit_notice& b) {
        return std::tie(a.upstream, a.requests_per_s, a.named_at) ==
               std::tie(b.upstream, b.requests_per_s, b.named_at);
    }
};

}  // namespace fuchsiaquay
