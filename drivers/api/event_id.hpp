#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fuchsiaquay {

/// Returns the id of a stream event. A caller sends it as `Last-Event-ID` to resume the stream at
/// any node. It holds the offset of the token, signed together with a digest of the request, so
/// that it is valid for that request only.
/// Format: `<offset>.<first 32 digits of the HMAC-SHA256>`.
std::string make_event_id(const std::string& cluster_key, const std::string& request_digest,
                          std::int64_t offset);

/// Returns the offset in `text`, or nothing if `text` is malformed or not signed for this request.
std::optional<std::int64_t> parse_event_id(const std::string& cluster_key,
                                           const std::string& request_digest,
                                           const std::string& text);

}  // namespace fuchsiaquay
