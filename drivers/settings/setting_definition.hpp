#pragma once

#include <cstdint>
#include <limits>
#include <string>

namespace fuchsiaquay {

/// Type of a setting's value.
enum class setting_type { text, integer, number, ip_address, list };

/// Everything known about one setting. The checker, `--print-settings` and docs/CONFIGURATION.md
/// all follow from it.
struct setting_definition {
    std::string section;
    std::string key;
    setting_type type = setting_type::text;
    /// Text used when the file does not name the key.
    std::string default_value;
    /// True: the file must name the key.
    bool required = false;
    /// Allowed range of integers and numbers, both ends included.
    std::int64_t minimum = std::numeric_limits<std::int64_t>::min();
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
    std::string unit;
    std::string description;
};

}  // namespace fuchsiaquay
