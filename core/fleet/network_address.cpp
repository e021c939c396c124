#include "core/fleet/network_address.hpp"

#include <charconv>

namespace fuchsiaquay {

network_address parse_network_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return {};
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return {};
    }
    if (text.find_first_not_of("0123456789.") < colon) {
        return {};
    }
    return {text.substr(0, colon), port};
}

}  // namespace fuchsiaquay
