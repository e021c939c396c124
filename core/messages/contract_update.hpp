#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Sends a contract revision to peers that do not watch the store. With an empty customer it states
/// only up to which revision the sender knows every change, and asks a peer that is ahead for the
/// missing changes.
struct contract_update {
    customer_id customer;
    /// Store revision of this document; without a customer, the revision up to which the sender
    /// knows every change.
    std::int64_t revision = 0;
    /// Highest revision of any contract known to the sender. Without a customer it is above 0 only
    /// if the sender has just verified with the store that there is nothing newer.
    std::int64_t index_revision = 0;
    /// True if the contract was deleted at `revision`; without a customer, if the sender is still
    /// catching up.
    bool erased = false;
    /// JSON text of the contract; empty if erased.
    std::string document;
    /// Revision of the change before this one in the sender's order. A receiver that knows every
    /// change up to it knows every change up to `revision` afterwards.
    std::int64_t previous_revision = 0;

    friend bool operator==(const contract_update& a, const contract_update& b) {
        return std::tie(a.customer, a.revision, a.index_revision, a.erased, a.document,
                        a.previous_revision) == std::tie(b.customer, b.revision, b.index_revision,
                                                         b.erased, b.document, b.previous_revision);
    }
    friend bool operator!=(const contract_update& a, const contract_update& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
