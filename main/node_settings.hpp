#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct setting_definition;

/// Settings of a node, as validated by `load_node_settings`.
struct node_settings {
    std::string host;
    std::string data_centre;
    std::string address;
    std::uint16_t http_port = 0;
    /// Port that peers connect to.
    std::uint16_t peer_port = 0;
    /// Port that the node listens on for peers.
    std::uint16_t peer_listen_port = 0;

    std::string cluster_key;
    std::string secondary_cluster_key;
    /// Initial peers, each as `host@address:peer_port@data_centre`.
    std::vector<std::string> seeds;

    std::string platform_address;
    std::uint16_t platform_port = 0;
    duration platform_timeout{};
    duration host_list_period{};

    std::string log_level;
    std::string bootstrap_operator_digest;

    std::int64_t max_body_bytes = 0;
    duration body_timeout{};
    int traffic_threads = 0;
    duration stall_timeout{};
    duration directory_lifetime{};
    duration gossip_delay{};
    duration drain_timeout{};

    std::int64_t engine_tokens_per_second = 0;
    std::int64_t journal_writes_per_second = 0;
    std::uint64_t seed = 0;
};

/// Returns the definitions of all settings of a node.
const std::vector<setting_definition>& node_setting_definitions();

/// Reads and validates a node's INI file.
/// @throws settings_error  with one line for each invalid setting
node_settings load_node_settings(const std::string& file,
                                 const std::vector<std::string>& overrides);

}  // namespace fuchsiaquay
