#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/identity/names.hpp"
#include "core/messages/upstream_state.hpp"
#include "core/messages/upstream_type.hpp"

namespace fuchsiaquay {

/// One upstream as the host list or an operator describes it.
struct upstream_record {
    upstream_id id;
    upstream_type type = upstream_type::engine;
    /// Set for a plain service.
    service_id service;
    /// IP number.
    std::string address;
    std::uint16_t port = 0;
    data_centre_id data_centre;
    upstream_state state = upstream_state::live;
    /// Models that an engine has loaded.
    std::vector<model_id> models;
    /// True: the engine refuses orders with an old fencing number.
    bool checks_orders = false;
    /// KV cache of an engine, in tokens.
    std::int64_t memory_tokens = 0;

    friend bool operator==(const upstream_record& a, const upstream_record& b) {
        return std::tie(a.id, a.type, a.service, a.address, a.port, a.data_centre, a.state,
                        a.models, a.checks_orders, a.memory_tokens) ==
               std::tie(b.id, b.type, b.service, b.address, b.port, b.data_centre, b.state,
                        b.models, b.checks_orders, b.memory_tokens);
    }
    friend bool operator!=(const upstream_record& a, const upstream_record& b) { return !(a == b); }
};

}  // namespace fuchsiaquay
