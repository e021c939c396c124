#include "tests/scenarios/runner/stream_reader.hpp"

#include <cpprest/json.h>

namespace fuchsiaquay::scenarios {

namespace {

/// The value in `line` after the field name; nothing if the line holds another field.
std::string field_value(const std::string& line, const std::string& name) {
    const std::string start = name + ":";
    if (line.compare(0, start.size(), start) != 0) {
        return "";
    }
    const std::size_t from = line.find_first_not_of(' ', start.size());
    const std::size_t to = line.find_last_not_of('\r');
    return from == std::string::npos ? "" : line.substr(from, to - from + 1);
}

}  // namespace

void stream_reader::read(const std::string& line) {
    const std::string id = field_value(line, "id");
    if (!id.empty()) {
        event_id_ = id;
    }
    const std::string data = field_value(line, "data");
    if (data == "[DONE]") {
        ++ends_;
    } else if (!data.empty()) {
        read_data(data);
    }
}

void stream_reader::read_data(const std::string& data) {
    const web::json::value event = web::json::value::parse(data);
    if (event.has_field("error")) {
        error_ = event.at("error").at("code").as_string();
        return;
    }
    if (!event.has_field("choices")) {
        return;
    }
    const web::json::array& choices = event.at("choices").as_array();
    if (choices.size() == 0) {
        return;
    }
    if (choices.at(0).has_field("text")) {
        answer_ += choices.at(0).at("text").as_string();
        last_event_id_ = event_id_;
    }
}

}  // namespace fuchsiaquay::scenarios
