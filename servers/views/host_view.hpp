#pragma once

#include <optional>
#include <vector>

#include "core/identity/names.hpp"
#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// Read access to the hosts that this node knows.
class host_view {
public:
    host_view() = default;
    host_view(const host_view&) = delete;
    host_view& operator=(const host_view&) = delete;
    virtual ~host_view() = default;

    /// This host.
    virtual const member_update& host() const = 0;
    /// Hosts that can be given new work, including this one unless it is leaving.
    virtual std::vector<member_update> live_hosts() const = 0;
    /// Entry of a host that is not dead.
    virtual std::optional<member_update> find(const host_id& host) const = 0;
};

}  // namespace fuchsiaquay
