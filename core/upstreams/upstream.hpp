#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

enum class upstream_kind { engine, service };

/// One upstream as recorded in the catalogue.
struct upstream {
    upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    /// Name of the service; empty for engines.
    service_id service;
    /// IP address.
    std::string address;
    std::uint16_t port = 0;
    data_centre_id data_centre;
    /// True if it must not get new work.
    bool leaving = false;
    /// Models that an engine serves.
    std::vector<model_id> models;
    /// True if the upstream checks the fencing token of an order and rejects an outdated one. False
    /// if it accepts orders with an outdated token.
    bool checks_orders = true;
    /// KV cache of an engine, in tokens.
    std::int64_t memory_tokens = 0;

    friend bool operator==(const upstream& a, const upstream& b) {
        return std::tie(a.id, a.kind, a.service, a.address, a.port, a.data_centre, a.leaving,
                        a.models, a.checks_orders, a.memory_tokens) ==
               std::tie(b.id, b.kind, b.service, b.address, b.port, b.data_centre, b.leaving,
                        b.models, b.checks_orders, b.memory_tokens);
    }
    friend bool operator!=(const upstream& a, const upstream& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
