#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Time within which the kernel closes all sockets of a process that has ended, so that later
/// connections to it are refused.
constexpr duration process_end_time = std::chrono::milliseconds(10);

}  // namespace fuchsiaquay
