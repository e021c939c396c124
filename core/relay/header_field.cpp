#include "core/relay/header_field.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace fuchsiaquay {

namespace {

/// Connection-specific fields, see RFC 9110, section 7.6.1, and the framing fields of RFC 9112.
constexpr std::array<std::string_view, 9> connection_headers = {
    "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
    "host",       "transfer-encoding", "content-length"};

}  // namespace

bool same_header_name(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) ==
               std::tolower(static_cast<unsigned char>(right));
    });
}

const std::string* find_header(const header_list& fields, std::string_view name) {
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto& field) {
        return same_header_name(field.name, name);
    });
    return found == fields.end() ? nullptr : &found->value;
}

bool is_connection_header(std::string_view name) {
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [name](std::string_view other) { return same_header_name(name, other); });
}

}  // namespace fuchsiaquay
