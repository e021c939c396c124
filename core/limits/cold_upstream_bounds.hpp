#pragma once

#include <cstddef>

namespace fuchsiaquay {

/// Bound of the requests that a cold upstream receives in any second from all hosts: its rate times
/// `overage`, plus `slack`.
struct cold_upstream_bounds {
    double overage = 1.5;
    double slack = 5.0;
    /// Hosts that share the bound at least. A larger fleet divides it by its own size.
    std::size_t min_hosts = 15;
};

}  // namespace fuchsiaquay
