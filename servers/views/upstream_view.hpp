#pragma once

#include <optional>
#include <vector>

#include "core/identity/names.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// Read access to the upstreams that this node knows.
class upstream_view {
public:
    upstream_view() = default;
    upstream_view(const upstream_view&) = delete;
    upstream_view& operator=(const upstream_view&) = delete;
    virtual ~upstream_view() = default;

    /// All upstreams that have not been removed, in the order of their ids.
    virtual std::vector<upstream> all() const = 0;
    virtual std::optional<upstream> find(const upstream_id& id) const = 0;
};

}  // namespace fuchsiaquay
