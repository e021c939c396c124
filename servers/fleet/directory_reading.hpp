#pragma once

#include <cstddef>

namespace fuchsiaquay {

/// What a host found in the directory of the serving hosts.
struct directory_reading {
    /// False when the store did not answer.
    bool read = false;
    /// This host has an entry.
    bool own = false;
    /// Entries that this host had not known.
    std::size_t unknown = 0;
};

}  // namespace fuchsiaquay
