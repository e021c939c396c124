#pragma once

#include "servers/journal/shard_codec.hpp"

namespace fuchsiaquay {

/// Encodes journal shards as FlatBuffers; see journal_shard.fbs.
class flatbuffers_shard_codec final : public shard_codec {
public:
    std::string encode(const shard_state& state) const override;
    shard_state decode(std::string_view value) const override;
};

}  // namespace fuchsiaquay
