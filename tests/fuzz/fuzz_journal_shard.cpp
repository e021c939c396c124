/// @file
/// A value of the store either decodes as a shard or is refused with an operation_error.

#include <string>

#include "core/error/operation_error.hpp"
#include "core/journal/shard_state.hpp"
#include "drivers/journal/flatbuffers_shard_codec.hpp"
#include "tests/fuzz/mutation.hpp"

namespace {

using namespace fuchsiaquay;

std::string valid_value() {
    shard_state state;
    for (std::uint64_t i = 0; i < 4; ++i) {
        journal_entry entry;
        entry.fingerprint = i;
        state.put(entry);
    }
    return flatbuffers_shard_codec().encode(state);
}

}  // namespace

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const std::string valid = valid_value();
    if (size == 0) {
        return 0;
    }
    const bool change = (data[0] & 1) != 0;
    const std::string value = change ? fuzz::mutate(valid, data + 1, size - 1)
                                     : std::string(reinterpret_cast<const char*>(data), size);
    try {
        flatbuffers_shard_codec().decode(value);
    } catch (const operation_error&) {
        return 0;
    }
    return 0;
}
