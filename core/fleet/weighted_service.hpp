#pragma once

#include <string>
#include <tuple>

namespace fuchsiaquay {

/// A service that receives a share of a route's requests.
struct weighted_service {
    std::string service;
    /// Share of the requests, relative to the weights of the other services of the route.
    double weight = 1.0;

    friend bool operator==(const weighted_service& a, const weighted_service& b) {
        return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
    }
    friend bool operator!=(const weighted_service& a, const weighted_service& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
