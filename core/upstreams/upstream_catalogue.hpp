#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/messages/upstream_update.hpp"

namespace fuchsiaquay {

/// The upstreams as one host knows them, merged from the views of the elected pollers. The host
/// list lags and differently for each poller, so of two opinions the cautious one counts: an
/// upstream leaves as soon as one view says so, and is gone only when no view holds it.
class upstream_catalogue {
public:
    /// Outcome of an update.
    enum class outcome {
        /// Nothing new.
        unchanged,
        changed,
        /// An update was missed: ask the poller for its complete view.
        incomplete
    };

    outcome apply(const host_id& poller, const upstream_update& update);
    /// Drops the views of hosts that are no pollers any more, as soon as a present poller has sent
    /// its view. True if that changed the catalogue.
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
