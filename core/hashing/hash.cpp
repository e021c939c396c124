#include "core/hashing/hash.hpp"

#include <xxhash.h>

namespace fuchsiaquay {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace fuchsiaquay
