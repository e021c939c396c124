#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiaquay {

/// A further engine that reads part of a prompt.
struct placement_part {
    /// Upstream id.
    std::string engine;
    /// Tokens of the prompt that it holds until the end; 0 when it only reads.
    std::int64_t reserved_tokens = 0;

    friend bool operator==(const placement_part& a, const placement_part& b) {
        return std::tie(a.engine, a.reserved_tokens) == std::tie(b.engine, b.reserved_tokens);
    }
    friend bool operator!=(const placement_part& a, const placement_part& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
