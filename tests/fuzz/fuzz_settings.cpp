/// @file
/// An INI file is either read or refused with a settings_error.

#include <unistd.h>

#include <fstream>
#include <string>

#include "drivers/settings/setting_definition.hpp"
#include "drivers/settings/settings.hpp"
#include "drivers/settings/settings_error.hpp"

namespace {

std::vector<fuchsiaquay::setting_definition> definitions() {
    fuchsiaquay::setting_definition name;
    name.section = "node";
    name.key = "host";
    name.required = true;
    fuchsiaquay::setting_definition port;
    port.section = "node";
    port.key = "port";
    port.type = fuchsiaquay::setting_type::integer;
    port.default_value = "1";
    port.minimum = 1;
    port.maximum = 10;
    fuchsiaquay::setting_definition address;
    address.section = "node";
    address.key = "address";
    address.type = fuchsiaquay::setting_type::ip_address;
    address.default_value = "127.0.0.1";
    return {name, port, address};
}

}  // namespace

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const std::string path = "/tmp/fuzz_settings." + std::to_string(getpid()) + ".ini";
    std::ofstream(path, std::ios::binary)
        .write(reinterpret_cast<const char*>(data), static_cast<std::streamsize>(size));
    try {
        fuchsiaquay::load_settings(path, definitions(), {});
    } catch (const fuchsiaquay::settings_error&) {
        return 0;
    }
    return 0;
}
