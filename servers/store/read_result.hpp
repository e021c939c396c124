#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "servers/store/stored_value.hpp"

namespace fuchsiaquay {

/// Result of a read. `failure` is empty on success; otherwise the other members are not valid.
struct read_result {
    std::string failure;
    std::vector<stored_value> values;
    /// Store revision at which the read was made.
    std::int64_t store_revision = 0;

    bool ok() const { return failure.empty(); }
};

}  // namespace fuchsiaquay
