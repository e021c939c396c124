#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Unique id of one attempt to append an entry to the journal: the process that makes it and a
/// sequence number within that process.
struct writer_mark {
    host_id host;
    /// Unique for each start of the process.
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;

    /// Text form used in messages: `<host>/<incarnation>/<sequence>`.
    std::string to_string() const;
    /// True if both marks were made by the same process.
    bool same_writer(const writer_mark& other) const {
        return host == other.host && incarnation == other.incarnation;
    }

    friend bool operator==(const writer_mark& a, const writer_mark& b) {
        return std::tie(a.host, a.incarnation, a.sequence) ==
               std::tie(b.host, b.incarnation, b.sequence);
    }
    friend bool operator!=(const writer_mark& a, const writer_mark& b) { return !(a == b); }
    friend bool operator<(const writer_mark& a, const writer_mark& b) {
        return std::tie(a.host, a.incarnation, a.sequence) <
               std::tie(b.host, b.incarnation, b.sequence);
    }
};

/// Parses the text form of a mark. Returns no value if it is malformed.
std::optional<writer_mark> parse_writer_mark(std::string_view text);

}  // namespace fuchsiaquay
