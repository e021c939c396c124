#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace fuchsiaquay {

/// Size in bytes of one cache block of a prompt: 1,024 tokens of four bytes.
constexpr std::size_t prefix_block_bytes = 4096;

/// `stable_hash` of each prefix of `prompt` that consists of 1, 2, 3, ... complete blocks.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

}  // namespace fuchsiaquay
