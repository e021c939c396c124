#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// The process that writes the journal.
struct writer_identity {
    host_id host;
    /// Differs at every start of the process, also on one host; not the membership's number,
    /// which grows while the process runs.
    std::uint64_t incarnation = 0;

    friend bool operator==(const writer_identity& a, const writer_identity& b) {
        return std::tie(a.host, a.incarnation) == std::tie(b.host, b.incarnation);
    }
    friend bool operator!=(const writer_identity& a, const writer_identity& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
