#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/fleet/catalogue_delta.hpp"
#include "core/fleet/reported_host.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What a host knows of the store. An age is an upper bound on the time since the copy was current,
/// at the moment of the answer.
struct view_reply {
    std::string sender;
    std::uint64_t nonce = 0;
    /// Store revision of the sender's configuration; 0 when it has none.
    std::int64_t configuration_revision = 0;
    duration configuration_age{};
    duration catalogue_age{};
    catalogue_delta catalogue;
    /// The changes do not fit into a datagram and are left out: they are to be fetched.
    bool catalogue_left_out = false;
    /// For a host that stands by: the hosts that serve, the sender included.
    std::vector<reported_host> serving_hosts;
    /// The host that asked shall serve as well.
    bool invitation = false;
};

}  // namespace fuchsiaquay
