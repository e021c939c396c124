#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fuchsiaquay {

struct setting_definition;

/// Checked values of an INI file. Made by `load_settings`; every defined key has a value.
class settings {
public:
    using values = std::map<std::pair<std::string, std::string>, std::string>;

    explicit settings(values checked) : values_(std::move(checked)) {}

    /// Value as text. The key must be defined.
    const std::string& text(const std::string& section, const std::string& key) const;
    std::int64_t integer(const std::string& section, const std::string& key) const;
    double number(const std::string& section, const std::string& key) const;
    /// Comma-separated parts without surrounding blanks; empty text gives no parts.
    std::vector<std::string> list(const std::string& section, const std::string& key) const;

private:
    values values_;
};

/// Reads and checks an INI file.
/// @param overrides  `section.key=value` texts from the command line; they win over the file
/// @throws settings_error with one line for each fault; nothing is returned then
settings load_settings(const std::string& file, const std::vector<setting_definition>& definitions,
                       const std::vector<std::string>& overrides);

/// Splits at commas and strips blanks.
std::vector<std::string> split_list(const std::string& text);

}  // namespace fuchsiaquay
