#pragma once

#include <optional>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// What an operator decided about one upstream, from the key `fuchsiaquay/upstreams/<id>`.
struct upstream_override {
    upstream_id id;
    /// True: it gets no new work, whatever the host list says.
    bool drained = false;
    /// Set for an upstream that the host list does not hold.
    std::optional<upstream> added;

    friend bool operator==(const upstream_override& a, const upstream_override& b) {
        return std::tie(a.id, a.drained, a.added) == std::tie(b.id, b.drained, b.added);
    }
    friend bool operator!=(const upstream_override& a, const upstream_override& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
