#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay::stand_ins {

/// One executed call of a plain service.
struct execution {
    /// `Idempotency-Key` header; empty if the caller sent none.
    std::string key;
    std::string path;
    /// Hash of the body in hexadecimal.
    std::string body_hash;
    /// Wall clock, milliseconds since the epoch.
    std::int64_t at_ms = 0;
};

}  // namespace fuchsiaquay::stand_ins
