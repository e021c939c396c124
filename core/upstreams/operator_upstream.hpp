#pragma once

#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// Operator's instruction for an upstream; overrides the platform's list.
enum class operator_wish {
    /// Serve it as described.
    serve,
    /// Send it no new work.
    drain,
    /// Exclude it, whatever the list says.
    remove,
};

/// Operator's record of one upstream, kept in the store under the id of the upstream.
struct operator_upstream {
    operator_wish wish = operator_wish::serve;
    /// Complete if `described`; otherwise only the id is set and the platform's list provides the
    /// rest.
    upstream value;
    bool described = false;

    friend bool operator==(const operator_upstream& a, const operator_upstream& b) {
        return std::tie(a.wish, a.value, a.described) == std::tie(b.wish, b.value, b.described);
    }
    friend bool operator!=(const operator_upstream& a, const operator_upstream& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
