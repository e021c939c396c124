#pragma once

#include <cstdint>

#include "core/identity/names.hpp"
#include "core/upstreams/upstream.hpp"

namespace fuchsiaquay {

/// Part of a prompt that one engine of a group prefills and holds for the engine that generates.
struct plan_part {
    upstream target;
    grant_id grant;
    std::int64_t prompt_tokens = 0;
};

}  // namespace fuchsiaquay
