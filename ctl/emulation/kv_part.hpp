#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// KV cache of a held stream as exported from an engine.
struct kv_part {
    std::string stream_id;
    std::int64_t tokens = 0;
};

}  // namespace fuchsiaquay
