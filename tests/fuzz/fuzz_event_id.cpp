/// @file
/// An event id is accepted if and only if the system signed it.

#include <cstdlib>
#include <string>

#include "drivers/api/event_id.hpp"

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    const std::string key = "fuzz-key";
    const std::string digest = "digest";
    const auto offset = fuchsiaquay::parse_event_id(key, digest, text);
    if (offset && fuchsiaquay::make_event_id(key, digest, *offset) != text) {
        std::abort();
    }
    const auto chosen = static_cast<std::int64_t>(size);
    if (fuchsiaquay::parse_event_id(key, digest, fuchsiaquay::make_event_id(key, digest, chosen)) !=
        chosen) {
        std::abort();
    }
    return 0;
}
