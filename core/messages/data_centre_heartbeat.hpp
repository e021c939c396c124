#pragma once

#include <cstdint>
#include <tuple>

namespace fuchsiaquay {

/// Heartbeat of a data centre: a counter that its bridge hosts increment.
struct data_centre_heartbeat {
    /// Low half of the `stable_hash` of the data centre's name, which keeps the message short.
    std::uint32_t data_centre_key = 0;
    std::uint32_t beat = 0;

    friend bool operator==(const data_centre_heartbeat& a, const data_centre_heartbeat& b) {
        return std::tie(a.data_centre_key, a.beat) == std::tie(b.data_centre_key, b.beat);
    }
    friend bool operator!=(const data_centre_heartbeat& a, const data_centre_heartbeat& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
