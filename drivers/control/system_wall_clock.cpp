#include "drivers/control/system_wall_clock.hpp"

#include <chrono>

namespace fuchsiaquay {

std::int64_t system_wall_clock::unix_ms() const {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace fuchsiaquay
