#include "drivers/api/event_id.hpp"

#include <charconv>

#include "drivers/crypto/digest.hpp"

namespace fuchsiaquay {

namespace {

constexpr std::size_t signature_digits = 32;
/// Largest number of digits of an offset that is accepted.
constexpr std::size_t max_offset_digits = 12;

std::string sign(const std::string& cluster_key, const std::string& request_digest,
                 const std::string& offset) {
    return hmac_sha256_hex(cluster_key, request_digest + "/" + offset).substr(0, signature_digits);
}

}  // namespace

std::string make_event_id(const std::string& cluster_key, const std::string& request_digest,
                          std::int64_t offset) {
    const std::string number = std::to_string(offset);
    return number + "." + sign(cluster_key, request_digest, number);
}

std::optional<std::int64_t> parse_event_id(const std::string& cluster_key,
                                           const std::string& request_digest,
                                           const std::string& text) {
    const std::size_t dot = text.find('.');
    if (dot == std::string::npos || dot == 0 || dot > max_offset_digits) {
        return std::nullopt;
    }
    const std::string number = text.substr(0, dot);
    std::int64_t offset = 0;
    const auto parsed = std::from_chars(number.data(), number.data() + number.size(), offset);
    if (parsed.ec != std::errc() || parsed.ptr != number.data() + number.size() || offset < 0) {
        return std::nullopt;
    }
    if (!constant_time_equal(text.substr(dot + 1), sign(cluster_key, request_digest, number))) {
        return std::nullopt;
    }
    return offset;
}

}  // namespace fuchsiaquay
