#pragma once

// Includes cpprestsdk: for .cpp files of the JSON codecs only.

#include <cpprest/json.h>

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaquay {

/// A field of a JSON text that breaks a rule.
class field_error : public std::runtime_error {
public:
    field_error(std::string field, const std::string& allowed)
        : std::runtime_error(allowed), field_(std::move(field)) {}

    const std::string& field() const noexcept { return field_; }

private:
    std::string field_;
};

/// Reads the members of one JSON object by name, checks type and range, and knows which members
/// nobody asked for. Every function throws `field_error` with the path of the field.
class field_reader {
public:
    /// @param value  has to be an object
    /// @param path   path of the object in the whole text; empty at the top
    field_reader(const web::json::value& value, std::string path);

    /// Whether the member is there; an absent or null one gives the fallback in the readers.
    bool has(const std::string& name);
    /// A text of 1 to `longest` bytes.
    std::string text(const std::string& name, std::size_t longest);
    /// As `text`; an empty text gives the fallback too.
    std::string text_or(const std::string& name, std::size_t longest, std::string fallback);
    /// A name: 1 to 64 of letters, digits, '.', '_' and '-', beginning with a letter or digit.
    std::string name(const std::string& name);
    double number(const std::string& name, double least, double most);
    double number_or(const std::string& name, double least, double most, double fallback);
    std::int64_t integer(const std::string& name, std::int64_t least, std::int64_t most);
    std::int64_t integer_or(const std::string& name, std::int64_t least, std::int64_t most,
                            std::int64_t fallback);
    bool bool_or(const std::string& name, bool fallback);
    /// Items of an array of at most `most` items with their paths; none when absent.
    std::vector<std::pair<web::json::value, std::string>> items(const std::string& name,
                                                                std::size_t most);
    /// The member as a reader of its own; the member has to be there.
    field_reader object(const std::string& name);

    /// Throws when a member is there that no function was asked for.
    void reject_unknown_members() const;
    /// Path of a member.
    std::string path(const std::string& name) const;

private:
    const web::json::value& require(const std::string& name);

    web::json::value value_;
    std::string path_;
    std::set<std::string> asked_;
};

/// Whether `text` is a name as `field_reader::name` reads it.
bool is_name(const std::string& text);

/// Parses a text whose top is an object.
/// @throws field_error  with an empty field when the text is not JSON
web::json::value parse_object(const std::string& json);

}  // namespace fuchsiaquay
