#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Spreads a contract revision to peers that do not watch the store.
struct contract_update {
    customer_id customer;
    /// Store revision of this document.
    std::int64_t revision = 0;
    /// Highest revision of any contract known to the sender.
    std::int64_t index_revision = 0;
    /// True: the contract was deleted at `revision`.
    bool erased = false;
    /// JSON text of the contract; empty when erased.
    std::string document;

    friend bool operator==(const contract_update& a, const contract_update& b) {
        return std::tie(a.customer, a.revision, a.index_revision, a.erased, a.document) ==
               std::tie(b.customer, b.revision, b.index_revision, b.erased, b.document);
    }
    friend bool operator!=(const contract_update& a, const contract_update& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
