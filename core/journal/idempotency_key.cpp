#include "core/journal/idempotency_key.hpp"

#include <array>
#include <cstddef>

namespace fuchsiaquay {

namespace {

constexpr int time_shift_bits = 16;
constexpr std::uint64_t version_mask = 0xf000;
constexpr std::uint64_t version_7 = 0x7000;
constexpr std::uint64_t time_and_version_mask = ~std::uint64_t{0xfff};
constexpr std::uint64_t variant_mask = std::uint64_t{3} << 62;
constexpr std::uint64_t variant_rfc = std::uint64_t{2} << 62;
constexpr std::size_t text_length = 36;
constexpr std::size_t digits_per_half = 16;
constexpr int bits_per_digit = 4;
constexpr int decimal_digits = 10;

bool is_dash_position(std::size_t position) {
    return position == 8 || position == 13 || position == 18 || position == 23;
}

int digit_value(char character) {
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + decimal_digits;
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + decimal_digits;
    }
    return -1;
}

}  // namespace

std::int64_t idempotency_key::issued_ms() const {
    return static_cast<std::int64_t>(high >> time_shift_bits);
}

std::string idempotency_key::to_string() const {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(text_length);
    std::size_t digit = 0;
    for (std::size_t position = 0; position < text_length; ++position) {
        if (is_dash_position(position)) {
            text.push_back('-');
            continue;
        }
        const std::uint64_t half = digit < digits_per_half ? high : low;
        const std::size_t place = digits_per_half - 1 - digit % digits_per_half;
        text.push_back(digits[(half >> (bits_per_digit * place)) & 0xf]);
        ++digit;
    }
    return text;
}

std::optional<idempotency_key> parse_idempotency_key(std::string_view text) {
    if (text.size() != text_length) {
        return std::nullopt;
    }
    std::array<std::uint64_t, 2> halves{};
    std::size_t digit = 0;
    for (std::size_t position = 0; position < text_length; ++position) {
        if (is_dash_position(position)) {
            if (text[position] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int value = digit_value(text[position]);
        if (value < 0) {
            return std::nullopt;
        }
        std::uint64_t& half = halves.at(digit / digits_per_half);
        half = (half << bits_per_digit) | static_cast<std::uint64_t>(value);
        ++digit;
    }
    if ((halves[0] & version_mask) != version_7 || (halves[1] & variant_mask) != variant_rfc) {
        return std::nullopt;
    }
    return idempotency_key{halves[0], halves[1]};
}

idempotency_key make_idempotency_key(std::int64_t issued_ms, std::uint64_t random_high,
                                     std::uint64_t random_low) {
    const std::uint64_t time = static_cast<std::uint64_t>(issued_ms) << time_shift_bits;
    return {time | version_7 | (random_high & ~time_and_version_mask),
            (random_low & ~variant_mask) | variant_rfc};
}

}  // namespace fuchsiaquay
