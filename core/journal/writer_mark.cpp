#include "core/journal/writer_mark.hpp"

#include <charconv>
#include <system_error>

namespace fuchsiaquay {

namespace {

template <typename number>
bool parse_number(std::string_view text, number& value) {
    const char* end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && position == end;
}

}  // namespace

std::string writer_mark::to_string() const {
    return host.value() + "/" + std::to_string(incarnation) + "/" + std::to_string(sequence);
}

std::optional<writer_mark> parse_writer_mark(std::string_view text) {
    const std::size_t last = text.rfind('/');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = text.rfind('/', last - 1);
    if (middle == std::string_view::npos || middle == 0) {
        return std::nullopt;
    }
    writer_mark mark;
    mark.host = host_id(std::string(text.substr(0, middle)));
    if (!parse_number(text.substr(middle + 1, last - middle - 1), mark.incarnation) ||
        !parse_number(text.substr(last + 1), mark.sequence)) {
        return std::nullopt;
    }
    return mark;
}

}  // namespace fuchsiaquay
