#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/messages/upstream_update.hpp"

namespace fuchsiaquay {

/// Upstreams known to one host, merged from the views of the elected pollers. The host list is
/// delayed, differently for each poller, so the more cautious view wins: an upstream is leaving as
/// soon as one view says so, and is removed only when no view contains it.
class upstream_catalogue {
public:
    enum class outcome {
        unchanged,
        changed,
        /// An update was missed: request the complete view from the poller.
        incomplete
    };

    outcome apply(const host_id& poller, const upstream_update& update);
    /// Removes the views of hosts that are no longer pollers once a current poller has sent its
    /// view. Returns true if this changed the catalogue.
    bool retain_pollers(const std::vector<host_id>& pollers);

    const std::map<upstream_id, upstream>& all() const noexcept { return merged_; }
    std::optional<upstream> find(const upstream_id& id) const;

private:
    struct view {
        std::uint64_t version = 0;
        std::map<upstream_id, upstream> upstreams;
    };

    bool merge();

    std::map<host_id, view> views_;
    std::map<upstream_id, upstream> merged_;
};

}  // namespace fuchsiaquay
