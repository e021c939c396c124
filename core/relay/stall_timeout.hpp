#pragma once

#include "core/relay/stall_conditions.hpp"

namespace fuchsiaquay {

/// Time without data from an upstream after which another one is tried.
duration stall_timeout(const stall_conditions& conditions);

}  // namespace fuchsiaquay
