#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaquay {

struct setting_definition;

/// Validated values of an INI file, as returned by `load_settings`. Every defined key has a value.
class settings {
public:
    using values = std::map<std::pair<std::string, std::string>, std::string>;

    explicit settings(values checked) : values_(std::move(checked)) {}

    /// Returns a value as text. The key must be defined.
    const std::string& text(const std::string& section, const std::string& key) const;
    std::int64_t integer(const std::string& section, const std::string& key) const;
    double number(const std::string& section, const std::string& key) const;
    /// Splits a value at commas and trims the parts. An empty value has no parts.
    std::vector<std::string> list(const std::string& section, const std::string& key) const;

private:
    values values_;
};

/// Reads and validates an INI file.
/// @param overrides  `section.key=value` texts from the command line, which override the file
/// @throws settings_error  with one line for each fault
settings load_settings(const std::string& file, const std::vector<setting_definition>& definitions,
                       const std::vector<std::string>& overrides);

/// Splits `text` at commas and trims the parts.
std::vector<std::string> split_list(const std::string& text);

}  // namespace fuchsiaquay
