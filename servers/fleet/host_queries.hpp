#pragma once

#include <functional>

#include "core/fleet/network_address.hpp"
#include "servers/store/stored_value.hpp"

namespace fuchsiaquay {

/// Questions to other hosts whose answers do not fit into a datagram.
class host_queries {
public:
    /// Receives the configuration with the revision at which it is stored; revision 0 when the
    /// host did not give it.
    using configuration_handler = std::function<void(const stored_value& configuration)>;

    host_queries() = default;
    host_queries(const host_queries&) = delete;
    host_queries& operator=(const host_queries&) = delete;
    virtual ~host_queries() = default;

    virtual void fetch_configuration(const network_address& host, configuration_handler done) = 0;
};

}  // namespace fuchsiaquay
