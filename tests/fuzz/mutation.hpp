#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace fuchsiaquay::fuzz {

/// Copy of valid bytes with changes that the fuzzer's input names: pairs of a place (two bytes)
/// and a mask (one byte). Reaches deeper into binary formats than bytes from nothing.
inline std::string mutate(std::string valid, const std::uint8_t* data, std::size_t size) {
    constexpr std::size_t step = 3;
    constexpr std::size_t byte_values = 256;
    for (std::size_t i = 0; i + step <= size && !valid.empty(); i += step) {
        const std::size_t place = (data[i] * byte_values + data[i + 1]) % valid.size();
        valid[place] = static_cast<char>(static_cast<std::uint8_t>(valid[place]) ^ data[i + 2]);
    }
    return valid;
}

}  // namespace fuchsiaquay::fuzz
