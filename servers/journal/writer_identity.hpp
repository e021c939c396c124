#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Identity of a process that writes to the journal.
struct writer_identity {
    host_id host;
    /// Unique for each start of a process, also on the same host. This is not the membership's
    /// incarnation, which grows while the process runs.
    std::uint64_t incarnation = 0;

    friend bool operator==(const writer_identity& a, const writer_identity& b) {
        return std::tie(a.host, a.incarnation) == std::tie(b.host, b.incarnation);
    }
    friend bool operator!=(const writer_identity& a, const writer_identity& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
