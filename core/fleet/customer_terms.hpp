#pragma once

#include <optional>
#include <string>

namespace fuchsiaquay {

/// The holder of a key and what its contract overrides.
struct customer_terms {
    std::string customer;
    /// Rank that goes before the rank of the route.
    std::optional<int> rank;
};

}  // namespace fuchsiaquay
