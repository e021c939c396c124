#pragma once

/// @file
/// Layout of a frame: payload length (4 bytes, little endian), then the payload, which is an
/// HMAC-SHA256 truncated to 16 bytes (RFC 4868) and the FlatBuffers table `Frame` of
/// peer_frames.fbs that it authenticates.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "drivers/frames/cluster_keys.hpp"
#include "drivers/frames/peer_frame.hpp"

namespace fuchsiaquay {

/// Encodes frames with a message authentication code; verifies and decodes them.
class frame_codec {
public:
    static constexpr std::size_t length_bytes = 4;
    static constexpr std::size_t mac_bytes = 16;
    /// Largest accepted value of the length field.
    static constexpr std::size_t max_payload_bytes = std::size_t{256} * 1024;

    /// @throws frame_error if the signing key is empty
    explicit frame_codec(cluster_keys keys);

    /// Returns the bytes to write to a connection.
    /// @throws frame_error if the message exceeds `max_payload_bytes`
    std::string encode(const peer_frame& frame) const;
    /// Returns the payload (without the length field) of `table`, signed with the current key.
    std::string sign(std::string_view table) const;
    /// Returns the payload length in the first `length_bytes` of a frame, or nothing if the length
    /// is out of bounds.
    static std::optional<std::size_t> payload_length(std::string_view header);
    /// Verifies and decodes a payload. Returns nothing if it is not authentic or malformed.
    std::optional<peer_frame> decode(std::string_view payload) const;

private:
    bool authentic(std::string_view mac, std::string_view table) const;

    cluster_keys keys_;
};

}  // namespace fuchsiaquay
