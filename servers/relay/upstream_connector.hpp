#pragma once

#include <memory>
#include <string>

#include "core/fleet/upstream_entry.hpp"

namespace fuchsiaquay {

struct connection_options;
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
    /// @param listener  never called from within `open`; must outlive the exchange
    virtual std::unique_ptr<upstream_exchange> open(const upstream_entry& upstream,
                                                    std::string head,
                                                    std::shared_ptr<const std::string> body,
                                                    const connection_options& options,
                                                    exchange_listener& listener) = 0;
};

}  // namespace fuchsiaquay
