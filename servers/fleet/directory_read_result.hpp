#pragma once

#include <cstddef>

namespace fuchsiaquay {

/// Result of reading the directory of the serving hosts.
struct directory_read_result {
    /// False if the store did not answer.
    bool succeeded = false;
    /// Whether this host has an entry.
    bool has_own_entry = false;
    /// Number of entries that were unknown to this host.
    std::size_t new_entries = 0;
};

}  // namespace fuchsiaquay
