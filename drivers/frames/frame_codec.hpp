#pragma once

/// @file
/// Bytes of a frame: length (4 bytes, little endian, of what follows), HMAC-SHA256
/// truncated to 16 bytes (RFC 4868) over the rest, FlatBuffers table `Frame` of peer_frames.fbs.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "drivers/frames/cluster_keys.hpp"
#include "drivers/frames/peer_frame.hpp"

namespace fuchsiaquay {

/// Turns frames into authenticated bytes and back.
class frame_codec {
public:
    static constexpr std::size_t length_bytes = 4;
    static constexpr std::size_t mac_bytes = 16;
    /// Largest accepted value of the length field.
    static constexpr std::size_t max_payload_bytes = std::size_t{256} * 1024;

    /// @throws frame_error if the signing key is empty
    explicit frame_codec(cluster_keys keys);

    /// Bytes to write to a connection.
    /// @throws frame_error if the message exceeds `max_payload_bytes`
    std::string encode(const peer_frame& frame) const;
    /// Payload (without the length field) that carries `table` under the signing key.
    std::string sign(std::string_view table) const;
    /// Payload length announced by the first `length_bytes` of a frame; nothing if out of bounds.
    static std::optional<std::size_t> payload_length(std::string_view header);
    /// Decodes what follows the length field. Nothing if it is not authentic or not well-formed.
    std::optional<peer_frame> decode(std::string_view payload) const;

private:
    bool authentic(std::string_view mac, std::string_view table) const;

    cluster_keys keys_;
};

}  // namespace fuchsiaquay
