#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/identity/names.hpp"
#include "core/request/request_kind.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Properties of a request known on arrival, without its body. Immutable.
struct request_context {
    request_id id;
    request_kind kind = request_kind::completion;
    /// SHA-256 of the caller key in lower-case hexadecimal.
    std::string key_digest;
    /// Name of the requested rank; empty for the contract's first rank.
    std::string rank_name;
    /// Set for completions.
    model_id model;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    /// Hashes of prompt prefixes of increasing length, the shortest first; see core/routing.
    std::vector<std::uint64_t> prefix_hashes;
    /// Tokens that the caller already has when it resumes a stream.
    std::int64_t resume_offset = 0;
    /// Set for service calls.
    service_id service;
    std::string idempotency_key;
    /// Hash of method, service, path and body.
    std::uint64_t body_fingerprint = 0;
    instant arrived{};
};

}  // namespace fuchsiaquay
