#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiaquay {

/// Author, time and id of one change to a contract.
struct contract_edit {
    /// Unique for each attempt; used to find the change after a lost answer.
    std::string edit_id;
    /// Name of the operator.
    std::string author;
    /// UTC time in ISO 8601 according to the node that made the change.
    std::string edited_at;
    bool erased = false;

    friend bool operator==(const contract_edit& a, const contract_edit& b) {
        return std::tie(a.edit_id, a.author, a.edited_at, a.erased) ==
               std::tie(b.edit_id, b.author, b.edited_at, b.erased);
    }
    friend bool operator!=(const contract_edit& a, const contract_edit& b) { return !(a == b); }
};

/// A revision that has been replaced.
struct past_revision {
    std::int64_t revision = 0;
    contract_edit edit;
    /// JSON text; empty for a deletion.
    std::string document;

    friend bool operator==(const past_revision& a, const past_revision& b) {
        return std::tie(a.revision, a.edit, a.document) == std::tie(b.revision, b.edit, b.document);
    }
    friend bool operator!=(const past_revision& a, const past_revision& b) { return !(a == b); }
};

/// Earlier revisions of one customer's contract. It is written in the same transaction as the
/// contract, so both keys have the same store revision.
struct contract_history {
    contract_edit current;
    /// Latest revision first; limited in number and size.
    std::vector<past_revision> past;

    friend bool operator==(const contract_history& a, const contract_history& b) {
        return std::tie(a.current, a.past) == std::tie(b.current, b.past);
    }
    friend bool operator!=(const contract_history& a, const contract_history& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
