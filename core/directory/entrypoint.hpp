#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// A host that a caller may connect to.
struct entrypoint {
    host_id host;
    /// IP address.
    std::string address;
    std::uint16_t http_port = 0;

    friend bool operator==(const entrypoint& a, const entrypoint& b) {
        return std::tie(a.host, a.address, a.http_port) == std::tie(b.host, b.address, b.http_port);
    }
    friend bool operator!=(const entrypoint& a, const entrypoint& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
