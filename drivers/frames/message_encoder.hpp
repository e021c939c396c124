#pragma once

#include <flatbuffers/flatbuffers.h>

#include "core/messages/peer_message.hpp"
#include "drivers/frames/peer_frames_generated.h"

namespace fuchsiaquay {

/// Body of a frame inside a FlatBuffers builder.
struct encoded_body {
    wire::Body type = wire::Body::NONE;
    flatbuffers::Offset<void> offset;
};

/// Serializes `message` into `builder`.
encoded_body encode_message(flatbuffers::FlatBufferBuilder& builder, const peer_message& message);

}  // namespace fuchsiaquay
