#include "tests/scenarios/runner/uuid.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace fuchsiaquay::scenarios {

std::string make_uuid_v7(std::int64_t at_ms, std::uint64_t random) {
    constexpr unsigned low_12_bits = 0xfff;
    constexpr unsigned low_14_bits = 0x3fff;
    constexpr unsigned variant = 0x8000;
    constexpr std::uint64_t low_48_bits = 0xffffffffffff;
    const auto time = static_cast<std::uint64_t>(at_ms);
    std::array<char, 37> text{};
    std::snprintf(text.data(), text.size(), "%08" PRIx64 "-%04" PRIx64 "-7%03x-%04x-%012" PRIx64,
                  (time >> 16) & 0xffffffff, time & 0xffff,
                  static_cast<unsigned>(random >> 52) & low_12_bits,
                  variant | (static_cast<unsigned>(random >> 38) & low_14_bits),
                  (random * 0x9e3779b97f4a7c15) & low_48_bits);
    return text.data();
}

}  // namespace fuchsiaquay::scenarios
