#include "core/relay/event_splitter.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace fuchsiaquay {

namespace {

/// Maximum length of an event that is forwarded.
constexpr std::size_t max_event_bytes = 1'048'576;
constexpr std::string_view id_field = "id:";
/// Starts of the lines that an event or a comment consists of.
constexpr std::array<std::string_view, 5> field_starts = {id_field,
                                                          "data:", "event:", "retry:", ":"};

/// Position after the blank line that ends the first event; npos if no event is complete.
std::size_t end_of_event(std::string_view text) {
    const auto lf_end = text.find("\n\n");
    const auto crlf_end = text.find("\r\n\r\n");
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
        return std::string_view::npos;
    }
    if (crlf_end == std::string_view::npos ||
        (lf_end != std::string_view::npos && lf_end < crlf_end)) {
        return lf_end + 2;
    }
    return crlf_end + 4;
}

std::optional<std::int64_t> event_id(std::string_view event) {
    std::size_t line_start = 0;
    while (line_start < event.size()) {
        const std::size_t end = std::min(event.find('\n', line_start), event.size());
        std::string_view line = event.substr(line_start, end - line_start);
        line_start = end + 1;
        if (line.substr(0, id_field.size()) != id_field) {
            continue;
        }
        line.remove_prefix(id_field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::int64_t value = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), value);
        if (parsed.ec == std::errc()) {
            return value;
        }
    }
    return std::nullopt;
}

/// True if each line of `text` is blank or a comment, so that it carries no part of a response.
bool is_comment(std::string_view text) {
    std::size_t line_start = 0;
    while (line_start < text.size()) {
        const std::size_t end = std::min(text.find('\n', line_start), text.size());
        const std::string_view line = text.substr(line_start, end - line_start);
        line_start = end + 1;
        if (line.substr(0, 1) != ":" && line.find_first_not_of('\r') != std::string_view::npos) {
            return false;
        }
    }
    return true;
}

/// True if `text` has a line with a field or a comment of the event stream format, or no text.
bool is_event(std::string_view text) {
    bool blank = true;
    std::size_t line_start = 0;
    while (line_start < text.size()) {
        const std::size_t end = std::min(text.find('\n', line_start), text.size());
        const std::string_view line = text.substr(line_start, end - line_start);
        line_start = end + 1;
        const bool starts_field = std::any_of(
            field_starts.begin(), field_starts.end(),
            [line](std::string_view start) { return line.substr(0, start.size()) == start; });
        if (starts_field) {
            return true;
        }
        blank = blank && line.find_first_not_of('\r') == std::string_view::npos;
    }
    return blank;
}

}  // namespace

std::string event_splitter::append(std::string_view bytes) {
    if (too_long_ || out_of_order_) {
        return {};
    }
    const std::int64_t last_id_before = last_id_;
    const std::int64_t count_before = count_;
    partial_.append(bytes);
    std::size_t complete_bytes = 0;
    while (true) {
        const std::string_view rest = std::string_view(partial_).substr(complete_bytes);
        const std::size_t end = end_of_event(rest);
        if (end == std::string_view::npos) {
            break;
        }
        if (!accept(rest.substr(0, end))) {
            out_of_order_ = true;
            last_id_ = last_id_before;
            count_ = count_before;
            partial_.clear();
            return {};
        }
        complete_bytes += end;
    }
    std::string events = partial_.substr(0, complete_bytes);
    partial_.erase(0, complete_bytes);
    event_expected_ = event_expected_ && count_ == count_before;
    if (partial_.size() > max_event_bytes) {
        too_long_ = true;
        partial_.clear();
    }
    return events;
}

bool event_splitter::accept(std::string_view event) {
    const std::optional<std::int64_t> id = event_id(event);
    const bool has_ids = last_id_ > 0;
    if (id && (*id <= last_id_ || (has_ids && *id - 1 != last_id_))) {
        return false;
    }
    if (has_ids && !is_event(event)) {
        return false;
    }
    count_ += is_comment(event) ? 0 : 1;
    last_id_ = id.value_or(last_id_);
    return true;
}

}  // namespace fuchsiaquay
