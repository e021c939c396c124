#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace fuchsiaquay {

/// Key of a call that may not be repeated: a UUID of version 7, which carries the time at which
/// it was made. Orders by that time.
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

/// Reads the canonical text of a UUIDv7 in either case. Nothing for any other text.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

/// Builds a key issued at `issued_ms` from random bits, of which version and variant are
/// overwritten.
idempotency_key make_idempotency_key(std::int64_t issued_ms, std::uint64_t random_high,
                                     std::uint64_t random_low);

}  // namespace fuchsiaquay
