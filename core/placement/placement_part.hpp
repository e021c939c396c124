#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace fuchsiaquay {

/// An additional engine that processes a part of a prompt.
struct placement_part {
    /// Upstream id.
    std::string engine;
    /// Prompt tokens that the engine keeps until the request ends; 0 if it only runs the prefill.
    std::int64_t reserved_tokens = 0;

    friend bool operator==(const placement_part& a, const placement_part& b) {
        return std::tie(a.engine, a.reserved_tokens) == std::tie(b.engine, b.reserved_tokens);
    }
    friend bool operator!=(const placement_part& a, const placement_part& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
