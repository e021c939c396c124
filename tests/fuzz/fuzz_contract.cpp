/// @file
/// A contract text is either refused with a contract_error or prints to a text that parses to the
/// same contract.

#include <cstdlib>
#include <string>

#include "core/contract/contract.hpp"
#include "drivers/json/contract_codec.hpp"
#include "drivers/json/contract_error.hpp"

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        const fuchsiaquay::contract read = fuchsiaquay::parse_contract(text, 1);
        if (fuchsiaquay::parse_contract(fuchsiaquay::print_contract(read), 1) != read) {
            std::abort();
        }
    } catch (const fuchsiaquay::contract_error&) {
        return 0;
    }
    return 0;
}
