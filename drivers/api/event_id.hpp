#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiaquay {

/// Id of a stream event, with which a caller resumes at any node: the offset of the token, signed
/// together with a digest of the request, so that it fits that request only.
/// Text: `<offset>.<first 32 digits of the HMAC-SHA256>`.
std::string make_event_id(const std::string& cluster_key, const std::string& request_digest,
                          std::int64_t offset);

/// Offset in `text`, or nothing when it is malformed or not signed for this request.
std::optional<std::int64_t> parse_event_id(const std::string& cluster_key,
                                           const std::string& request_digest,
                                           const std::string& text);

}  // namespace fuchsiaquay
