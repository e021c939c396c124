#pragma once

#include <map>

#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

/// The upstreams of the last host list that could be read.
class listed_upstreams final : public upstream_view {
public:
    /// Replaces the list. Returns whether anything changed.
    bool replace(const std::vector<upstream>& list);

    std::vector<upstream> all() const override;
    std::optional<upstream> find(const upstream_id& id) const override;

private:
    std::map<upstream_id, upstream> upstreams_;
};

}  // namespace fuchsiaquay
