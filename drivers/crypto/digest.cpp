#include "drivers/crypto/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace fuchsiaquay {

namespace {

using digest_bytes = std::array<unsigned char, EVP_MAX_MD_SIZE>;

std::string to_hex(const digest_bytes& bytes, unsigned int size) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned int nibble_bits = 4;
    constexpr unsigned int nibble_mask = 0x0F;
    std::string text;
    text.reserve(size * std::size_t{2});
    for (unsigned int i = 0; i < size; ++i) {
        text += digits[bytes[i] >> nibble_bits];
        text += digits[bytes[i] & nibble_mask];
    }
    return text;
}

}  // namespace

std::string sha256_hex(std::string_view bytes) {
    digest_bytes digest{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest, size);
}

std::string hmac_sha256_hex(std::string_view key, std::string_view bytes) {
    digest_bytes digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &size);
    return to_hex(digest, size);
}

bool constant_time_equal(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace fuchsiaquay
