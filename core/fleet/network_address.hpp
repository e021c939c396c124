#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiaquay {

/// IPv4 address and port.
struct network_address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
    bool empty() const { return ip.empty(); }

    friend bool operator==(const network_address& a, const network_address& b) {
        return std::tie(a.ip, a.port) == std::tie(b.ip, b.port);
    }
    friend bool operator!=(const network_address& a, const network_address& b) { return !(a == b); }
    friend bool operator<(const network_address& a, const network_address& b) {
        return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
    }
};

/// Parses `IP:PORT`. Returns an empty address if the text is invalid. A socket can be opened for
/// any other.
network_address parse_network_address(const std::string& text);

}  // namespace fuchsiaquay
