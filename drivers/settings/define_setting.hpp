#pragma once

/// @file
/// Helper functions for tables of settings.

#include <cstdint>

#include "drivers/settings/setting_definition.hpp"

namespace fuchsiaquay {

setting_definition text_setting(const char* section, const char* key, const char* value,
                                const char* description);
setting_definition required_setting(setting_definition definition);
/// IP address; the default is the loopback address.
setting_definition address_setting(const char* section, const char* key, const char* description);
setting_definition integer_setting(const char* section, const char* key, std::int64_t value,
                                   std::int64_t minimum, std::int64_t maximum, const char* unit,
                                   const char* description);
/// Number with an optional fraction.
setting_definition number_setting(const char* section, const char* key, const char* value,
                                  std::int64_t minimum, std::int64_t maximum, const char* unit,
                                  const char* description);
/// Seconds from 0 to one hour, with an optional fraction.
setting_definition seconds_setting(const char* section, const char* key, const char* value,
                                   const char* description);
/// Milliseconds from 1 to one hour.
setting_definition milliseconds_setting(const char* section, const char* key, std::int64_t value,
                                        const char* description);
setting_definition port_setting(const char* section, const char* key, std::int64_t value,
                                const char* description);

}  // namespace fuchsiaquay
