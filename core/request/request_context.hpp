#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/identity/names.hpp"
#include "core/request/request_kind.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Everything known about a request when it arrives, but for its body. Never changed.
struct request_context {
    request_id id;
    request_kind kind = request_kind::completion;
    /// SHA-256 of the caller key in lower-case hexadecimal.
    std::string key_digest;
    /// Rank asked for by name; empty for the contract's first.
    std::string rank_name;
    /// Set for completions.
    model_id model;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    /// Hashes of growing prompt prefixes, the shortest first; see core/routing.
    std::vector<std::uint64_t> prefix_hashes;
    /// Tokens that the caller holds already, when it resumes a stream.
    std::int64_t resume_offset = 0;
    /// Set for service calls.
    service_id service;
    std::string idempotency_key;
    /// Hash of method, service, path and body.
    std::uint64_t body_fingerprint = 0;
    instant arrived{};
};

}  // namespace fuchsiaquay
