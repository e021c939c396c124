#pragma once

#include <memory>
#include <string>

#include "core/fleet/upstream_entry.hpp"

namespace fuchsiaquay {

class exchange_listener;
class upstream_exchange;

/// Sends requests to upstreams over persistent connections.
class upstream_connector {
public:
    upstream_connector() = default;
    upstream_connector(const upstream_connector&) = delete;
    upstream_connector& operator=(const upstream_connector&) = delete;
    virtual ~upstream_connector() = default;

    /// @param head  request line and headers with the blank line
    /// @param new_connection  do not reuse a connection, which the upstream may have closed
    /// @param listener  never called from within `open`; must outlive the exchange
    virtual std::unique_ptr<upstream_exchange> open(const upstream_entry& upstream,
                                                    std::string head,
                                                    std::shared_ptr<const std::string> body,
                                                    bool new_connection,
                                                    exchange_listener& listener) = 0;
};

}  // namespace fuchsiaquay
