#pragma once

#include <string>
#include <tuple>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Priority class in a contract.
struct rank {
    std::string name;
    /// Priority level; 0 is the most urgent. Equal levels in different contracts have equal
    /// priority.
    int level = 0;
    /// Fraction of every upstream's capacity reserved for this level regardless of the load of
    /// other levels, 0 to 1.
    double floor_share = 0.0;
    /// Target time to first token for short prompts.
    duration first_token_target{};
    /// Time allowed for a request, from arrival to the last byte.
    duration deadline{};

    friend bool operator==(const rank& a, const rank& b) {
        return std::tie(a.name, a.level, a.floor_share, a.first_token_target, a.deadline) ==
               std::tie(b.name, b.level, b.floor_share, b.first_token_target, b.deadline);
    }
    friend bool operator!=(const rank& a, const rank& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
