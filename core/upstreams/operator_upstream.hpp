#pragma once

#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// What operators want of an upstream, over what the platform's list says.
enum class operator_wish {
    /// Serve it as described.
    serve,
    /// Give it no new work.
    drain,
    /// Leave it out, whatever the list says.
    remove,
};

/// Record of an operator about one upstream, kept in the store under its id.
struct operator_upstream {
    operator_wish wish = operator_wish::serve;
    /// Whole when `described`; otherwise only the id counts and the platform's list says the rest.
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
