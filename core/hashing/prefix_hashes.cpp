#include "core/hashing/prefix_hashes.hpp"

#include <xxhash.h>

#include <memory>

namespace fuchsiaquay {

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt) {
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(),
                                                                           &XXH64_freeState);
    XXH64_reset(state.get(), 0);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(prompt.size() / prefix_block_bytes);
    while (prompt.size() >= prefix_block_bytes) {
        XXH64_update(state.get(), prompt.data(), prefix_block_bytes);
        hashes.push_back(XXH64_digest(state.get()));
        prompt.remove_prefix(prefix_block_bytes);
    }
    return hashes;
}

}  // namespace fuchsiaquay
