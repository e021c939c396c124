#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay::scenarios {

/// Address at which callers reach a node.
struct entrypoint {
    std::string node;
    std::uint16_t port = 0;
};

}  // namespace fuchsiaquay::scenarios
