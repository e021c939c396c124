#include "drivers/engine/stream_parser.hpp"

#include <cpprest/json.h>

#include <string_view>
#include <utility>

#include "core/error/operation_error.hpp"
#include "drivers/json/json_parser.hpp"
#include "drivers/json/json_text.hpp"

namespace fuchsiaquay {

namespace json = web::json;

namespace {

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view end_marker = "[DONE]";
/// Maximum size of an event.
constexpr std::size_t max_event_bytes = 1 << 20;

std::int64_t count_field(const json::value& usage, const char* name) {
    return usage.has_number_field(name) ? usage.at(name).as_number().to_int64() : 0;
}

}  // namespace

stream_parser::stream_parser(std::string stream_id, std::int64_t next_offset)
    : stream_id_(std::move(stream_id)), next_offset_(next_offset) {}

std::vector<token_event> stream_parser::feed(const std::string& bytes) {
    pending_ += bytes;
    if (pending_.size() > max_event_bytes && pending_.find('\n') == std::string::npos) {
        throw operation_error("read stream", stream_id_, "event too long");
    }
    std::vector<token_event> events;
    std::size_t start = 0;
    std::size_t newline = pending_.find('\n');
    while (newline != std::string::npos) {
        const std::string_view line(pending_.data() + start, newline - start);
        if (line.substr(0, data_prefix.size()) == data_prefix) {
            accept_data(std::string(line.substr(data_prefix.size())), events);
        }
        start = newline + 1;
        newline = pending_.find('\n', start);
    }
    pending_.erase(0, start);
    return events;
}

void stream_parser::accept_data(const std::string& data, std::vector<token_event>& events) {
    if (data.compare(0, end_marker.size(), end_marker) == 0) {
        end_marker_received_ = true;
        return;
    }
    json::value message;
    try {
        message = parse_json(data);
    } catch (const json_error& error) {
        throw operation_error("read stream", stream_id_, error.what());
    }
    if (!message.has_string_field("id") || message.at("id").as_string() != stream_id_) {
        return;
    }
    if (message.has_object_field("usage")) {
        const json::value& usage = message.at("usage");
        prompt_tokens_ = count_field(usage, "prompt_tokens");
        completion_tokens_ = count_field(usage, "completion_tokens");
        cached_tokens_ = count_field(usage, "cached_tokens");
    }
    if (!message.has_array_field("choices") || message.at("choices").size() == 0) {
        return;
    }
    const json::value& choice = message.at("choices").at(0);
    token_event event;
    event.offset = count_field(message, "offset");
    if (event.offset < next_offset_) {
        return;
    }
    if (event.offset > next_offset_) {
        throw operation_error("read stream", stream_id_, "gap in the offsets");
    }
    event.text = choice.has_string_field("text") ? choice.at("text").as_string() : "";
    if (choice.has_string_field("finish_reason")) {
        event.finish_reason = choice.at("finish_reason").as_string();
        last_token_received_ = true;
    }
    ++next_offset_;
    events.push_back(std::move(event));
}

}  // namespace fuchsiaquay
