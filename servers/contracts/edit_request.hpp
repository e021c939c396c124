#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// One attempt of an operator to create, change or delete a contract.
struct edit_request {
    customer_id customer;
    /// New text; empty deletes the contract.
    std::string document;
    /// Revision that the operator saw; 0 means that there must be no contract; without a value
    /// whatever is there is replaced.
    std::optional<std::int64_t> expected_revision;
    /// Name of the operator.
    std::string author;
    /// UTC time in ISO 8601, for the history.
    std::string edited_at;
    /// Checks everything and writes nothing.
    bool dry_run = false;
};

}  // namespace fuchsiaquay
