#pragma once

#include <optional>
#include <string>
#include <vector>

namespace fuchsiaquay {

/// The customer that owns a key, and the overrides of its contract.
struct customer_terms {
    std::string customer;
    /// Overrides the rank of the route.
    std::optional<int> rank;
    /// Regions in which the customer may be served; any region if empty.
    std::vector<std::string> allowed_regions = {};
};

}  // namespace fuchsiaquay
