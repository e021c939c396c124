#pragma once

#include <cstdint>
#include <functional>

#include "core/fleet/catalogue_delta.hpp"
#include "core/fleet/configuration_answer.hpp"
#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Questions to other hosts whose answers do not fit into a datagram.
class host_queries {
public:
    using configuration_handler = std::function<void(const configuration_answer& answer)>;

    /// Receives a view of revision 0 when the host did not answer.
    using catalogue_handler = std::function<void(const catalogue_delta& view)>;

    host_queries() = default;
    host_queries(const host_queries&) = delete;
    host_queries& operator=(const host_queries&) = delete;
    virtual ~host_queries() = default;

    /// @param known  revision of the asker's own configuration, to which the answer may be a delta
    /// @param any_size  false: a host answers nothing that would fill its link
    virtual void fetch_configuration(const network_address& host, std::int64_t known, bool any_size,
                                     configuration_handler done) = 0;
    /// @param known  revision that the asker's copy reflects; 0 for the whole catalogue
    virtual void fetch_catalogue(const network_address& host, std::int64_t known,
                                 catalogue_handler done) = 0;
};

}  // namespace fuchsiaquay
