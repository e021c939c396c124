/// @file
/// An event stream yields the same events however its bytes are split into chunks.

#include <cstdlib>
#include <string>
#include <string_view>

#include "core/relay/event_splitter.hpp"

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    const std::size_t piece = data[0] % 16 + 1;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    fuchsiaquay::event_splitter whole;
    fuchsiaquay::event_splitter cut;
    const std::string expected = whole.append(bytes);
    std::string seen;
    for (std::size_t at = 0; at < bytes.size() && !cut.out_of_order(); at += piece) {
        seen += cut.append(bytes.substr(at, piece));
    }
    const bool same_end = whole.out_of_order() == cut.out_of_order();
    if (!same_end || (!whole.out_of_order() && (seen != expected || whole.count() != cut.count() ||
                                                whole.last_id() != cut.last_id()))) {
        std::abort();
    }
    return 0;
}
