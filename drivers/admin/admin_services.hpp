#pragma once

#include <string>

namespace fuchsiaquay {

class contract_registry;
class contract_editor;
class decision_log;
class host_view;
class key_value_store;
class limit_service;
class node_operations;
class request_explainer;
class timer_service;
class upstream_view;
class wall_clock;

/// Parts of the node that the administration API uses. All of them must outlive it.
struct admin_services {
    contract_registry& registry;
    contract_editor& editor;
    key_value_store& store;
    timer_service& timers;
    const wall_clock& clock;
    const host_view& hosts;
    const upstream_view& upstreams;
    const limit_service& limits;
    request_explainer& explainer;
    node_operations& nodes;
    decision_log& log;
    /// SHA-256 of the operator token in the settings; empty if none is set.
    std::string bootstrap_token_digest;
};

}  // namespace fuchsiaquay
