#include "drivers/crypto/base64.hpp"

#include <openssl/evp.h>

namespace fuchsiaquay {

namespace {

constexpr std::size_t text_block = 4;
constexpr std::size_t byte_block = 3;

const unsigned char* as_bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* as_bytes(std::string& text) {
    return reinterpret_cast<unsigned char*>(text.data());
}

}  // namespace

std::string encode_base64(std::string_view bytes) {
    // One more byte, as OpenSSL terminates the text with a zero.
    std::string text((bytes.size() + byte_block - 1) / byte_block * text_block + 1, '\0');
    const int length =
        EVP_EncodeBlock(as_bytes(text), as_bytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decode_base64(std::string_view text) {
    if (text.empty() || text.size() % text_block != 0) {
        return "";
    }
    std::string bytes(text.size() / text_block * byte_block, '\0');
    const int length =
        EVP_DecodeBlock(as_bytes(bytes), as_bytes(text), static_cast<int>(text.size()));
    if (length < 0) {
        return "";
    }
    // OpenSSL decodes padding as zero bytes and counts them.
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

}  // namespace fuchsiaquay
