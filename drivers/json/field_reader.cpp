#include "drivers/json/field_reader.hpp"

#include <algorithm>
#include <sstream>

#include "drivers/json/json_parser.hpp"
#include "drivers/json/json_text.hpp"

namespace fuchsiaquay {
namespace {

constexpr std::size_t max_name_bytes = 64;

const char* type_name(const web::json::value& value) {
    switch (value.type()) {
        case web::json::value::Number:
            return "a number";
        case web::json::value::Boolean:
            return "true or false";
        case web::json::value::String:
            return "a text";
        case web::json::value::Object:
            return "an object";
        case web::json::value::Array:
            return "an array";
        default:
            return "null";
    }
}

[[noreturn]] void refuse_type(const std::string& path, const char* wanted,
                              const web::json::value& found) {
    throw field_error(path, std::string("has to be ") + wanted + ", found " + type_name(found));
}

std::string range_text(double minimum, double maximum) {
    std::ostringstream text;
    text.precision(15);
    text << "has to be from " << minimum << " to " << maximum;
    return text.str();
}

bool is_letter_or_digit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

std::string known_fields(const std::set<std::string>& names) {
    std::string text;
    for (const std::string& name : names) {
        text += text.empty() ? name : ", " + name;
    }
    return text;
}

}  // namespace

field_reader::field_reader(const web::json::value& value, std::string path)
    : value_(value), path_(std::move(path)) {
    if (!value_.is_object()) {
        refuse_type(path_, "an object", value_);
    }
}

bool field_reader::has(const std::string& name) {
    requested_.insert(name);
    return value_.has_field(name) && !value_.at(name).is_null();
}

const web::json::value& field_reader::require(const std::string& name) {
    if (!has(name)) {
        throw field_error(path(name), "is required");
    }
    return value_.at(name);
}

std::string field_reader::text(const std::string& name, std::size_t max_bytes) {
    const web::json::value& found = require(name);
    if (!found.is_string()) {
        refuse_type(path(name), "a text", found);
    }
    const std::string& text = found.as_string();
    if (text.empty() || text.size() > max_bytes) {
        throw field_error(path(name),
                          "has to be 1 to " + std::to_string(max_bytes) + " bytes long");
    }
    return text;
}

std::string field_reader::text_or(const std::string& name, std::size_t max_bytes,
                                  std::string fallback) {
    const bool empty =
        has(name) && value_.at(name).is_string() && value_.at(name).as_string().empty();
    return has(name) && !empty ? text(name, max_bytes) : std::move(fallback);
}

std::string field_reader::name(const std::string& name) {
    std::string found = text(name, max_name_bytes);
    if (!is_name(found)) {
        throw field_error(path(name),
                          "may hold letters, digits, '.', '_' and '-' and begins with a letter or "
                          "digit");
    }
    return found;
}

double field_reader::number(const std::string& name, double minimum, double maximum) {
    const web::json::value& found = require(name);
    if (!found.is_number()) {
        refuse_type(path(name), "a number", found);
    }
    const double number = found.as_number().to_double();
    if (!(number >= minimum && number <= maximum)) {
        throw field_error(path(name), range_text(minimum, maximum));
    }
    return number;
}

double field_reader::number_or(const std::string& name, double minimum, double maximum,
                               double fallback) {
    return has(name) ? number(name, minimum, maximum) : fallback;
}

std::int64_t field_reader::integer(const std::string& name, std::int64_t minimum,
                                   std::int64_t maximum) {
    const web::json::value& found = require(name);
    if (!found.is_number()) {
        refuse_type(path(name), "a whole number", found);
    }
    if (!found.as_number().is_int64()) {
        throw field_error(path(name), "has to be a whole number from " + std::to_string(minimum) +
                                          " to " + std::to_string(maximum));
    }
    const std::int64_t number = found.as_number().to_int64();
    if (number < minimum || number > maximum) {
        throw field_error(path(name), "has to be a whole number from " + std::to_string(minimum) +
                                          " to " + std::to_string(maximum));
    }
    return number;
}

std::int64_t field_reader::integer_or(const std::string& name, std::int64_t minimum,
                                      std::int64_t maximum, std::int64_t fallback) {
    return has(name) ? integer(name, minimum, maximum) : fallback;
}

bool field_reader::bool_or(const std::string& name, bool fallback) {
    if (!has(name)) {
        return fallback;
    }
    const web::json::value& found = value_.at(name);
    if (!found.is_boolean()) {
        refuse_type(path(name), "true or false", found);
    }
    return found.as_bool();
}

std::vector<std::pair<web::json::value, std::string>> field_reader::items(const std::string& name,
                                                                          std::size_t maximum) {
    std::vector<std::pair<web::json::value, std::string>> found;
    if (!has(name)) {
        return found;
    }
    const web::json::value& list = value_.at(name);
    if (!list.is_array()) {
        refuse_type(path(name), "an array", list);
    }
    if (list.size() > maximum) {
        throw field_error(path(name), "may have at most " + std::to_string(maximum) + " items");
    }
    for (const web::json::value& item : list.as_array()) {
        found.emplace_back(item, path(name) + "[" + std::to_string(found.size()) + "]");
    }
    return found;
}

field_reader field_reader::object(const std::string& name) {
    return field_reader(require(name), path(name));
}

void field_reader::reject_unknown_members() const {
    for (const auto& member : value_.as_object()) {
        if (requested_.count(member.first) == 0) {
            throw field_error(path(member.first),
                              "is not a known field; known are " + known_fields(requested_));
        }
    }
}

std::string field_reader::path(const std::string& name) const {
    return path_.empty() ? name : path_ + "." + name;
}

bool is_name(const std::string& text) {
    if (text.empty() || text.size() > max_name_bytes || !is_letter_or_digit(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return is_letter_or_digit(c) || c == '.' || c == '_' || c == '-';
    });
}

web::json::value parse_object(const std::string& json) {
    try {
        web::json::value value = parse_json(json);
        if (!value.is_object()) {
            refuse_type("", "an object", value);
        }
        return value;
    } catch (const json_error& error) {
        throw field_error("", error.what());
    }
}

}  // namespace fuchsiaquay
