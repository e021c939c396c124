#include "drivers/settings/define_setting.hpp"

#include <string>

namespace fuchsiaquay {

namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_seconds = 3'600;
constexpr std::int64_t max_milliseconds = 3'600'000;

}  // namespace

setting_definition text_setting(const char* section, const char* key, const char* value,
                                const char* description) {
    setting_definition definition;
    definition.section = section;
    definition.key = key;
    definition.default_value = value;
    definition.description = description;
    return definition;
}

setting_definition required_setting(setting_definition definition) {
    definition.required = true;
    return definition;
}

setting_definition address_setting(const char* section, const char* key, const char* description) {
    setting_definition definition = text_setting(section, key, "127.0.0.1", description);
    definition.type = setting_type::ip_address;
    return definition;
}

setting_definition integer_setting(const char* section, const char* key, std::int64_t value,
                                   std::int64_t minimum, std::int64_t maximum, const char* unit,
                                   const char* description) {
    setting_definition definition = text_setting(section, key, "", description);
    definition.type = setting_type::integer;
    definition.default_value = std::to_string(value);
    definition.minimum = minimum;
    definition.maximum = maximum;
    definition.unit = unit;
    return definition;
}

setting_definition number_setting(const char* section, const char* key, const char* value,
                                  std::int64_t minimum, std::int64_t maximum, const char* unit,
                                  const char* description) {
    setting_definition definition = text_setting(section, key, value, description);
    definition.type = setting_type::number;
    definition.minimum = minimum;
    definition.maximum = maximum;
    definition.unit = unit;
    return definition;
}

setting_definition seconds_setting(const char* section, const char* key, const char* value,
                                   const char* description) {
    return number_setting(section, key, value, 0, max_seconds, "s", description);
}

setting_definition milliseconds_setting(const char* section, const char* key, std::int64_t value,
                                        const char* description) {
    return integer_setting(section, key, value, 1, max_milliseconds, "ms", description);
}

setting_definition port_setting(const char* section, const char* key, std::int64_t value,
                                const char* description) {
    return integer_setting(section, key, value, 1, max_port, "", description);
}

}  // namespace fuchsiaquay
