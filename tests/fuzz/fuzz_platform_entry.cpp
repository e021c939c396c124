/// @file
/// Entries and configurations of other writers either decode or are refused with an
/// operation_error.

#include <string>

#include "core/error/operation_error.hpp"
#include "core/fleet/fleet_configuration.hpp"
#include "core/fleet/upstream_entry.hpp"
#include "platform/platform_configuration_codec.hpp"
#include "platform/platform_upstream_codec.hpp"
#include "tests/fuzz/mutation.hpp"

namespace {

using namespace fuchsiaquay;

constexpr const char* valid_entry =
    R"({"service":"s1","address":"10.0.0.1:80","zone":"z1","version":1,"slots":6,)"
    R"("state":"ready","cold_ms":0,"seq":3,"born":1})";

template <typename codec_call>
void refuse_or_take(const codec_call& call) {
    try {
        call();
    } catch (const operation_error&) {
        return;
    }
}

}  // namespace

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const platform_upstream_codec entries;
    static const platform_configuration_codec configurations;
    if (size == 0) {
        return 0;
    }
    const bool change = (data[0] & 1) != 0;
    const std::string text = change ? fuzz::mutate(valid_entry, data + 1, size - 1)
                                    : std::string(reinterpret_cast<const char*>(data), size);
    refuse_or_take([&text] { entries.decode("id", text); });
    refuse_or_take([&text] { configurations.decode(text); });
    return 0;
}
