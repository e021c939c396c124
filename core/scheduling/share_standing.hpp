#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Recent use of the engines of a service by a client account, in engines.
struct share_standing {
    double used = 0.0;
    /// What the account may use while the engines are short.
    double limit = 0.0;
    /// Time until the account is within its limit, if it sends nothing more; zero if it is.
    duration free_in{};

    bool over() const { return free_in > duration::zero(); }
};

}  // namespace fuchsiaquay
