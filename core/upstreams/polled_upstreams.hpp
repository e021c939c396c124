#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/messages/upstream_update.hpp"
#include "core/upstreams/upstream_override.hpp"

namespace fuchsiaquay {

/// Upstreams as read by an elected poller: the host list with the operators' overrides applied.
/// Numbers each version of this view and makes the updates that send it to the other hosts.
class polled_upstreams {
public:
    /// @param first_version  must exceed every version of earlier processes of the host, for
    ///                       example the start of the process in milliseconds since the epoch
    explicit polled_upstreams(std::uint64_t first_version) : version_(first_version) {}

    /// Returns whether the list differs from the last one.
    bool set_list(const std::vector<upstream>& list);
    /// Returns whether the overrides differ from the last ones.
    bool set_overrides(std::vector<upstream_override> overrides);
    /// Applies the list and the overrides. Returns the changes, or nothing if there are none.
    std::optional<upstream_update> refresh();
    /// The complete view, split into updates of at most `max_upstreams` upstreams; apply them in
    /// order.
    std::vector<upstream_update> full_updates(std::size_t max_upstreams) const;
    /// An update without changes, which lets a receiver detect that it missed one.
    upstream_update empty_update() const;

private:
    std::vector<upstream> list_;
    std::vector<upstream_override> overrides_;
    std::map<upstream_id, upstream> view_;
    std::uint64_t version_;
};

}  // namespace fuchsiaquay
