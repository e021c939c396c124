#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace fuchsiaquay::fuzz {

/// Copies valid bytes and applies the changes given by the fuzzer input: pairs of a position (two
/// bytes) and a mask (one byte). Reaches deeper into binary formats than random bytes do.
inline std::string mutate(std::string valid, const std::uint8_t* data, std::size_t size) {
    constexpr std::size_t step = 3;
    constexpr std::size_t byte_values = 256;
    for (std::size_t i = 0; i + step <= size && !valid.empty(); i += step) {
        const std::size_t position = (data[i] * byte_values + data[i + 1]) % valid.size();
        valid[position] =
            static_cast<char>(static_cast<std::uint8_t>(valid[position]) ^ data[i + 2]);
    }
    return valid;
}

}  // namespace fuchsiaquay::fuzz
