#pragma once

#include "core/relay/stall_conditions.hpp"

namespace fuchsiaquay {

/// Silence of an upstream after which another one is tried.
duration stall_timeout(const stall_conditions& facts);

}  // namespace fuchsiaquay
