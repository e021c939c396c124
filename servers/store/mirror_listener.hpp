#pragma once

#include <cstdint>
#include <vector>

#include "servers/store/stored_value.hpp"
#include "servers/store/watch_event.hpp"

namespace fuchsiaquay {

/// Receives the contents and changes of a `prefix_mirror`.
class mirror_listener {
public:
    mirror_listener() = default;
    mirror_listener(const mirror_listener&) = delete;
    mirror_listener& operator=(const mirror_listener&) = delete;
    virtual ~mirror_listener() = default;

    /// Called with the complete contents; keys that are missing do not exist.
    /// @param revision  store revision at which the contents were read
    /// @param after_outage  whether leases may have expired during an outage before this read
    virtual void on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                             bool after_outage) = 0;
    /// Called with changes in revision order.
    /// @param revision  store revision up to which all changes are known
    virtual void on_changes(const std::vector<watch_event>& events, std::int64_t revision) = 0;
};

}  // namespace fuchsiaquay
