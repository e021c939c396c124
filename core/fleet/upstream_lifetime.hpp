#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiaquay {

/// One process of an upstream. An upstream may restart with the same id.
struct upstream_lifetime {
    std::string id;
    /// Start time of the process in Unix milliseconds; 0 if unknown.
    std::int64_t started_at_ms = 0;

    friend bool operator==(const upstream_lifetime& a, const upstream_lifetime& b) {
        return std::tie(a.id, a.started_at_ms) == std::tie(b.id, b.started_at_ms);
    }
    friend bool operator!=(const upstream_lifetime& a, const upstream_lifetime& b) {
        return !(a == b);
    }
    /// Orders the processes of one upstream by their start.
    friend bool operator<(const upstream_lifetime& a, const upstream_lifetime& b) {
        return std::tie(a.id, a.started_at_ms) < std::tie(b.id, b.started_at_ms);
    }
};

}  // namespace fuchsiaquay
