#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Releases a grant. Idempotent.
struct grant_release {
    grant_id grant;
    request_id request;
    upstream_id upstream;
    /// Tokens that the engine produced under the grant.
    std::int64_t generated_tokens = 0;

    friend bool operator==(const grant_release& a, const grant_release& b) {
        return std::tie(a.grant, a.request, a.upstream, a.generated_tokens) ==
               std::tie(b.grant, b.request, b.upstream, b.generated_tokens);
    }
    friend bool operator!=(const grant_release& a, const grant_release& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
