#pragma once

#include <cstdint>
#include <vector>

#include "servers/store/stored_value.hpp"
#include "servers/store/watch_event.hpp"

namespace fuchsiaquay {

/// Receives what a mirror of a prefix learns.
class mirror_listener {
public:
    mirror_listener() = default;
    mirror_listener(const mirror_listener&) = delete;
    mirror_listener& operator=(const mirror_listener&) = delete;
    virtual ~mirror_listener() = default;

    /// The whole content; keys that are missing do not exist.
    /// @param revision  revision of the store at which the content was read
    /// @param after_outage  the store may have been away before this read, so that leases ran out
    virtual void on_snapshot(const std::vector<stored_value>& values, std::int64_t revision,
                             bool after_outage) = 0;
    /// Changes in revision order.
    /// @param revision  revision of the store up to which all changes are known
    virtual void on_changes(const std::vector<watch_event>& events, std::int64_t revision) = 0;
};

}  // namespace fuchsiaquay
