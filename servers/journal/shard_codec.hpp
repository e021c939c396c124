#pragma once

#include <string>
#include <string_view>

#include "core/journal/shard_state.hpp"

namespace fuchsiaquay {

/// Encodes and decodes the value of a shard in the store.
class shard_codec {
public:
    shard_codec() = default;
    shard_codec(const shard_codec&) = delete;
    shard_codec& operator=(const shard_codec&) = delete;
    virtual ~shard_codec() = default;

    virtual std::string encode(const shard_state& state) const = 0;
    /// Verifies and decodes a value. An empty value is an empty shard.
    /// @throws journal_format_error  if the value is malformed
    virtual shard_state decode(std::string_view value) const = 0;
};

}  // namespace fuchsiaquay
