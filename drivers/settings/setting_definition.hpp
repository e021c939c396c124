#pragma once

#include <cstdint>
#include <limits>
#include <string>

namespace fuchsiaquay {

/// Type of a setting's value.
enum class setting_type { text, integer, number, ip_address, list };

/// Definition of one setting, from which validation, `--print-settings` and docs/CONFIGURATION.md
/// are derived.
struct setting_definition {
    std::string section;
    std::string key;
    setting_type type = setting_type::text;
    /// Value used if the file does not contain the key.
    std::string default_value;
    /// Whether the file must contain the key.
    bool required = false;
    /// Allowed range of integers and numbers, inclusive.
    std::int64_t minimum = std::numeric_limits<std::int64_t>::min();
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
    std::string unit;
    std::string description;
};

}  // namespace fuchsiaquay
