#pragma once

#include <cstdint>
#include <string_view>

namespace fuchsiaquay {

/// 64-bit hash of `bytes` that is the same on every host and in every version (XXH64). It is not
/// cryptographic.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace fuchsiaquay
