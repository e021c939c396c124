#include "core/hashing/stagger_delay.hpp"

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

duration stagger_delay(std::string_view name, duration span, std::uint64_t seed) {
    const auto steps = static_cast<std::uint64_t>(to_milliseconds(span));
    return std::chrono::milliseconds(static_cast<std::int64_t>(stable_hash(name, seed) % steps));
}

}  // namespace fuchsiaquay
