#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/fleet/catalogue_delta.hpp"
#include "core/fleet/evacuation_set.hpp"
#include "core/fleet/reported_host.hpp"
#include "core/limits/rate_limit_notice.hpp"
#include "core/quarantine/quarantined_part.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A host's copy of the store's data. Ages are upper bounds on the time since the copy was current,
/// measured when the reply was sent.
struct view_reply {
    std::string sender;
    std::uint64_t nonce = 0;
    /// Store revision of the sender's configuration; 0 if it has none.
    std::int64_t configuration_revision = 0;
    /// Age of the configuration and the evacuations.
    duration configuration_age{};
    duration catalogue_age{};
    catalogue_delta catalogue;
    /// Whether the changes were omitted because they do not fit into a datagram. The receiver must
    /// fetch them.
    bool catalogue_left_out = false;
    /// Serving hosts including the sender; set only in replies to hosts on standby.
    std::vector<reported_host> serving_hosts;
    /// Parts of prompts that the sender refuses; set only in replies to hosts on standby.
    std::vector<quarantined_part> quarantined_parts;
    /// What upstreams said to the sender about their limits; set only in replies to hosts on
    /// standby.
    std::vector<rate_limit_notice> rate_limits;
    evacuation_set evacuations;
    /// Store revision at which the evacuations were read or changed; 0 if the sender does not know
    /// them.
    std::int64_t evacuations_as_of = 0;
    /// Whether the requesting host should start to serve.
    bool invitation = false;
};

}  // namespace fuchsiaquay
