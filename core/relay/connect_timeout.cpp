#include "core/relay/connect_timeout.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// Part of the target that a connection may take.
constexpr int target_divisor = 4;
/// Lower limit, which exceeds a round trip between regions.
constexpr duration min_connect_timeout = std::chrono::milliseconds(60);
/// Upper limit, from which an upstream counts as unreachable.
constexpr duration max_connect_timeout = std::chrono::milliseconds(600);

}  // namespace

duration connect_timeout(duration target) {
    return std::clamp(target / target_divisor, min_connect_timeout, max_connect_timeout);
}

}  // namespace fuchsiaquay
