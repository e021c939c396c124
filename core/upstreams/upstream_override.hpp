#pragma once

#include <optional>
#include <tuple>

#include "core/identity/names.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// Operator's override for one upstream, read from the key `fuchsiaquay/upstreams/<id>`.
struct upstream_override {
    upstream_id id;
    /// True if it must not get new work, whatever the host list says.
    bool drained = false;
    /// Set for an upstream that is not in the host list.
    std::optional<upstream> added;

    friend bool operator==(const upstream_override& a, const upstream_override& b) {
        return std::tie(a.id, a.drained, a.added) == std::tie(b.id, b.drained, b.added);
    }
    friend bool operator!=(const upstream_override& a, const upstream_override& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
