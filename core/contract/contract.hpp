#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/contract/customer_limits.hpp"
#include "core/contract/rank.hpp"
#include "core/contract/service_terms.hpp"
#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Contract with one customer. It alone determines the customer's ranks, shares, deadlines and
/// limits. Immutable after the codec has created it; every change creates a new revision.
struct contract {
    customer_id customer;
    /// Store revision at which this version was written; grows with every change.
    std::int64_t revision = 0;
    /// SHA-256 digests of the caller keys, in lower-case hexadecimal.
    std::vector<std::string> key_digests;
    /// Scheduling weight relative to other customers of the same rank level, above 0.
    double weight = 1.0;
    customer_limits limits;
    /// At least one rank, sorted by level with the most urgent first.
    std::vector<rank> ranks;
    std::vector<model_id> models;
    std::vector<service_terms> services;

    friend bool operator==(const contract& a, const contract& b) {
        return std::tie(a.customer, a.revision, a.key_digests, a.weight, a.limits, a.ranks,
                        a.models, a.services) == std::tie(b.customer, b.revision, b.key_digests,
                                                          b.weight, b.limits, b.ranks, b.models,
                                                          b.services);
    }
    friend bool operator!=(const contract& a, const contract& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
