#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/fleet/network_address.hpp"
#include "core/fleet/upstream_lifetime.hpp"
#include "core/fleet/upstream_state.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Catalogue entry of an upstream.
struct upstream_entry {
    /// Usually changes with each start of the upstream.
    std::string id;
    std::string service;
    network_address address;
    /// Number of requests that it processes concurrently.
    int slots = 1;
    upstream_state state = upstream_state::ready;
    /// Start time of the process in Unix milliseconds; 0 if unknown. An upstream may restart with
    /// the same id.
    std::int64_t started_at_ms = 0;
    /// Empty if the entry does not name it.
    std::string data_centre;
    /// Time for which the process stays slow after its start, counted from when the entry was read.
    /// Not compared, because it decreases with each report.
    duration cold_time{};

    upstream_lifetime lifetime() const { return {id, started_at_ms}; }

    friend bool operator==(const upstream_entry& a, const upstream_entry& b) {
        return std::tie(a.id, a.service, a.address, a.slots, a.state, a.started_at_ms,
                        a.data_centre) == std::tie(b.id, b.service, b.address, b.slots, b.state,
                                                   b.started_at_ms, b.data_centre);
    }
    friend bool operator!=(const upstream_entry& a, const upstream_entry& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
