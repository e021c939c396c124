#pragma once

// Includes cpprestsdk headers; include only in .cpp files that read JSON.

#include <cpprest/json.h>

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaquay {

/// Thrown for an invalid field of a JSON text.
class field_error : public std::runtime_error {
public:
    field_error(std::string field, const std::string& allowed)
        : std::runtime_error(allowed), field_(std::move(field)) {}

    const std::string& field() const noexcept { return field_; }

private:
    std::string field_;
};

/// Reads the members of one JSON object by name, checks their type and range, and records which
/// members were read, to detect unknown ones. Every function throws `field_error` with the path of
/// the invalid field.
class field_reader {
public:
    /// @param value  must be an object
    /// @param path   path of the object in the whole text; empty for the root
    field_reader(const web::json::value& value, std::string path);

    /// Whether the member is present and not null. Otherwise the `_or` functions return `fallback`.
    bool has(const std::string& name);
    /// Reads a string of 1 to `max_bytes` bytes.
    std::string text(const std::string& name, std::size_t max_bytes);
    /// As `text`, but returns `fallback` if the member is absent or empty.
    std::string text_or(const std::string& name, std::size_t max_bytes, std::string fallback);
    /// Reads a name: 1 to 64 letters, digits, '.', '_' and '-', the first a letter or digit.
    std::string name(const std::string& name);
    double number(const std::string& name, double minimum, double maximum);
    double number_or(const std::string& name, double minimum, double maximum, double fallback);
    std::int64_t integer(const std::string& name, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer_or(const std::string& name, std::int64_t minimum, std::int64_t maximum,
                            std::int64_t fallback);
    bool bool_or(const std::string& name, bool fallback);
    /// Reads an array of at most `maximum` items. Returns the items with their paths, none if
    /// absent.
    std::vector<std::pair<web::json::value, std::string>> items(const std::string& name,
                                                                std::size_t maximum);
    /// Returns a reader for a member that is an object. The member is required.
    field_reader object(const std::string& name);

    /// Throws if the object has a member that was not read or checked with `has`.
    void reject_unknown_members() const;
    /// Path of a member in the whole text.
    std::string path(const std::string& name) const;

private:
    const web::json::value& require(const std::string& name);

    web::json::value value_;
    std::string path_;
    std::set<std::string> requested_;
};

/// Whether `text` is a valid name for `field_reader::name`.
bool is_name(const std::string& text);

/// Parses a JSON text whose root is an object.
/// @throws field_error  with an empty field if the text is not JSON or its root is no object
web::json::value parse_object(const std::string& json);

}  // namespace fuchsiaquay
