#pragma once

#include "core/relay/stall_facts.hpp"

namespace fuchsiaquay {

/// Silence of an upstream after which another one is tried.
duration stall_patience(const stall_facts& facts);

}  // namespace fuchsiaquay
