#pragma once

#include <cstdint>

#include "core/contract/customer_limits.hpp"
#include "core/identity/names.hpp"
#include "core/limits/limit_share.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Usage of one customer's limits on this host.
struct limit_usage {
    customer_id customer;
    customer_limits limits;
    /// This host's share of the limits.
    limit_share share;
    std::int64_t running = 0;
    host_id keeper;
    /// Time since the keeper last answered.
    duration age{};
};

}  // namespace fuchsiaquay
