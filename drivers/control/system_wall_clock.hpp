#pragma once

#include "servers/wall_clock.hpp"

namespace fuchsiaquay {

/// Wall clock of the operating system.
class system_wall_clock final : public wall_clock {
public:
    std::int64_t unix_ms() const override;
};

}  // namespace fuchsiaquay
