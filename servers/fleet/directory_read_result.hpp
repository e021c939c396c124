#pragma once

#include <cstddef>

namespace fuchsiaquay {

/// What a host found in the directory of the serving hosts.
struct directory_read_result {
    /// False when the store did not answer.
    bool succeeded = false;
    /// This host has an entry.
    bool has_own_entry = false;
    /// Entries that this host had not known.
    std::size_t new_entries = 0;
};

}  // namespace fuchsiaquay
