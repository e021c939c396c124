#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay::stand_ins {

/// One key of the store with the revisions that the gateway reports.
struct stored_entry {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    /// Lease to which the key is attached; 0 for none.
    std::int64_t lease = 0;
};

}  // namespace fuchsiaquay::stand_ins
