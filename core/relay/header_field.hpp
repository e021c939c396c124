#pragma once

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace fuchsiaquay {

/// One header line of a message.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field& a, const header_field& b) {
        return std::tie(a.name, a.value) == std::tie(b.name, b.value);
    }
    friend bool operator!=(const header_field& a, const header_field& b) { return !(a == b); }
};

using header_list = std::vector<header_field>;

/// Compares header names, which are case-insensitive.
bool same_header_name(std::string_view a, std::string_view b);
/// Value of the first field with the name `name`; null if there is none.
const std::string* find_header(const header_list& fields, std::string_view name);
/// True for fields that apply to a single connection and are never forwarded.
bool is_connection_header(std::string_view name);

}  // namespace fuchsiaquay
