#include "tests/stand_ins/support/text.hpp"

#include <array>
#include <chrono>
#include <cinttypes>
#include <cstdio>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay::stand_ins {

namespace {
constexpr std::uint64_t low_24_bits = 0xffffff;
constexpr std::size_t bytes_per_token = 4;
}  // namespace

std::string hex16(std::uint64_t value) {
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, value);
    return digits.data();
}

std::int64_t wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string answer_token(const std::string& prompt, std::uint64_t offset) {
    std::array<char, 8> token{};
    std::snprintf(token.data(), token.size(), " %06" PRIx64,
                  stable_hash(prompt, offset) & low_24_bits);
    return token.data();
}

std::int64_t token_count(const std::string& text) {
    return static_cast<std::int64_t>((text.size() + bytes_per_token - 1) / bytes_per_token);
}

}  // namespace fuchsiaquay::stand_ins
