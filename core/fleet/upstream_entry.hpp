#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/fleet/network_address.hpp"
#include "core/fleet/upstream_state.hpp"

namespace fuchsiaquay {

/// An upstream as the catalogue lists it.
struct upstream_entry {
    /// New with most starts of the upstream.
    std::string id;
    std::string service;
    network_address address;
    /// Requests that it processes at once.
    int slots = 1;
    upstream_state state = upstream_state::ready;
    /// Start of this lifetime, as Unix milliseconds; 0 when it is not told. An upstream may start
    /// again under the id that it had.
    std::int64_t started_at_ms = 0;

    friend bool operator==(const upstream_entry& a, const upstream_entry& b) {
        return std::tie(a.id, a.service, a.address, a.slots, a.state, a.started_at_ms) ==
               std::tie(b.id, b.service, b.address, b.slots, b.state, b.started_at_ms);
    }
    friend bool operator!=(const upstream_entry& a, const upstream_entry& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
