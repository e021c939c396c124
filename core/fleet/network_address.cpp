#include "core/fleet/network_address.hpp"

#include <charconv>
#include <string_view>

namespace fuchsiaquay {

namespace {

constexpr int octet_count = 4;

/// Whether `text` consists of four decimal numbers from 0 to 255 without leading zeros.
bool is_ip_number(std::string_view text) {
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    for (int i = 0; i < octet_count; ++i) {
        if (i > 0 && (position == end || *position++ != '.')) {
            return false;
        }
        std::uint8_t octet = 0;
        const auto parsed = std::from_chars(position, end, octet);
        const bool leading_zero = parsed.ptr - position > 1 && *position == '0';
        if (parsed.ec != std::errc() || leading_zero) {
            return false;
        }
        position = parsed.ptr;
    }
    return position == end;
}

}  // namespace

network_address parse_network_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !is_ip_number(std::string_view(text).substr(0, colon))) {
        return {};
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return {};
    }
    return {text.substr(0, colon), port};
}

}  // namespace fuchsiaquay
