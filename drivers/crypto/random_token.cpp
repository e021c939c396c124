#include "drivers/crypto/random_token.hpp"

#include <openssl/rand.h>

#include <array>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

std::string random_token(const std::string& prefix) {
    constexpr std::size_t secret_bytes = 32;
    std::array<unsigned char, secret_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw operation_error("make key", "local", "no random bytes");
    }
    constexpr const char* digits = "0123456789abcdef";
    std::string text = prefix;
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0FU];
    }
    return text;
}

}  // namespace fuchsiaquay
