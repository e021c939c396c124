#pragma once

#include <cstdint>
#include <functional>

#include "core/fleet/configuration_answer.hpp"
#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Questions to other hosts whose answers do not fit into a datagram.
class host_queries {
public:
    using configuration_handler = std::function<void(const configuration_answer& answer)>;

    host_queries() = default;
    host_queries(const host_queries&) = delete;
    host_queries& operator=(const host_queries&) = delete;
    virtual ~host_queries() = default;

    /// @param known  revision of the asker's own configuration, to which the answer may be a delta
    virtual void fetch_configuration(const network_address& host, std::int64_t known,
                                     configuration_handler done) = 0;
};

}  // namespace fuchsiaquay
