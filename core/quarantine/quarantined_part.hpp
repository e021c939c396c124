#pragma once

#include <string>
#include <tuple>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A part of prompts whose requests are refused, because engines ended under them.
struct quarantined_part {
    std::string id;
    instant until{};

    friend bool operator==(const quarantined_part& a, const quarantined_part& b) {
        return std::tie(a.id, a.until) == std::tie(b.id, b.until);
    }
};

}  // namespace fuchsiaquay
