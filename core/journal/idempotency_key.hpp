#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace fuchsiaquay {

/// Idempotency key of a call: a UUID of version 7, which contains its time of issue. Keys are
/// ordered by that time.
struct idempotency_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// Time of issue in milliseconds since the Unix epoch.
    std::int64_t issued_ms() const;
    /// Canonical text, 36 lower-case characters.
    std::string to_string() const;

    friend bool operator==(const idempotency_key& a, const idempotency_key& b) {
        return std::tie(a.high, a.low) == std::tie(b.high, b.low);
    }
    friend bool operator!=(const idempotency_key& a, const idempotency_key& b) { return !(a == b); }
    friend bool operator<(const idempotency_key& a, const idempotency_key& b) {
        return std::tie(a.high, a.low) < std::tie(b.high, b.low);
    }
};

/// Parses the canonical text of a UUIDv7 in upper or lower case. Returns no value for any other
/// text.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

/// Builds a key issued at `issued_ms` from random bits. The version and variant bits are
/// overwritten.
idempotency_key make_idempotency_key(std::int64_t issued_ms, std::uint64_t random_high,
                                     std::uint64_t random_low);

}  // namespace fuchsiaquay
