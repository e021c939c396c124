#pragma once

#include <cstdint>
#include <functional>

#include "core/fleet/catalogue_delta.hpp"
#include "core/fleet/configuration_answer.hpp"
#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// Queries to other hosts whose answers do not fit into a datagram.
class host_queries {
public:
    using configuration_handler = std::function<void(const configuration_answer& answer)>;

    /// Receives a delta of revision 0 if the host did not answer.
    using catalogue_handler = std::function<void(const catalogue_delta& delta)>;

    host_queries() = default;
    host_queries(const host_queries&) = delete;
    host_queries& operator=(const host_queries&) = delete;
    virtual ~host_queries() = default;

    /// @param known_revision  revision of the local configuration; the answer may be a delta to it
    /// @param any_size  if false, the host does not return answers large enough to saturate its
    /// link
    virtual void fetch_configuration(const network_address& host, std::int64_t known_revision,
                                     bool any_size, configuration_handler done) = 0;
    /// @param known_revision  revision of the local copy; 0 to fetch the whole catalogue
    virtual void fetch_catalogue(const network_address& host, std::int64_t known_revision,
                                 catalogue_handler done) = 0;
};

}  // namespace fuchsiaquay
