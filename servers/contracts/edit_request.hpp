#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// One attempt of an operator to create, change or delete a contract.
struct edit_request {
    customer_id customer;
    /// New contract text; empty to delete the contract.
    std::string document;
    /// Revision that the contract must have; 0 if there must be no contract. Without a value any
    /// revision is replaced.
    std::optional<std::int64_t> expected_revision;
    /// Name of the operator.
    std::string author;
    /// UTC time in ISO 8601, for the history.
    std::string edited_at;
    /// If true, everything is checked but nothing is written.
    bool dry_run = false;
};

}  // namespace fuchsiaquay
