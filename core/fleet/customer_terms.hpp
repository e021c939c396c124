#pragma once

#include <optional>
#include <string>

namespace fuchsiaquay {

/// The customer that owns a key, and the overrides of its contract.
struct customer_terms {
    std::string customer;
    /// Overrides the rank of the route.
    std::optional<int> rank;
};

}  // namespace fuchsiaquay
