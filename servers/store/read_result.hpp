#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "servers/store/stored_value.hpp"

namespace fuchsiaquay {

/// Answer to a read. `failure` is empty on success; otherwise nothing is known.
struct read_result {
    std::string failure;
    std::vector<stored_value> values;
    /// Revision of the store at which the read was made.
    std::int64_t store_revision = 0;

    bool ok() const { return failure.empty(); }
};

}  // namespace fuchsiaquay
