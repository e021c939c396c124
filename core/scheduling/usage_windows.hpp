#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Times over which `customer_shares` averages usage. Long prompts arrive one at a time, so their
/// window is longer.
struct usage_windows {
    duration short_prompts = std::chrono::seconds(30);
    duration long_prompts = std::chrono::seconds(300);
};

}  // namespace fuchsiaquay
