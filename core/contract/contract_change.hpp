#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// The latest change to the contract of one customer.
struct contract_change {
    customer_id customer;
    std::int64_t revision = 0;
    /// True if the contract was deleted at `revision`.
    bool erased = false;
    /// JSON text of the contract; empty for a deletion.
    std::string document;

    friend bool operator==(const contract_change& a, const contract_change& b) {
        return std::tie(a.customer, a.revision, a.erased, a.document) ==
               std::tie(b.customer, b.revision, b.erased, b.document);
    }
    friend bool operator!=(const contract_change& a, const contract_change& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
