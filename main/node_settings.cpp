#include "main/node_settings.hpp"

#include "drivers/settings/define_setting.hpp"
#include "drivers/settings/setting_definition.hpp"
#include "drivers/settings/settings.hpp"

namespace fuchsiaquay {

namespace {

constexpr std::int64_t max_port = 65'535;

std::vector<setting_definition> make_definitions() {
    return {
        required_setting(
            text_setting("node", "host", "", "name of this host, unique in the fleet")),
        required_setting(text_setting("node", "data_centre", "", "data centre of this host")),
        address_setting("node", "address", "IP number to listen at, for callers and for peers"),
        required_setting(
            integer_setting("node", "http_port", 0, 1, max_port, "", "port towards callers")),
        required_setting(
            integer_setting("node", "peer_port", 0, 1, max_port, "", "port towards peers")),
        integer_setting(
            "node", "peer_listen_port", 0, 0, max_port, "",
            "port to listen at for peers where it differs from peer_port; 0: peer_port"),
        integer_setting("node", "seed", 1, 0, 1'000'000'000, "", "seed of random choices"),
        required_setting(
            text_setting("cluster", "key", "", "secret shared by all hosts, authenticates frames")),
        text_setting("cluster", "other_key", "", "second secret accepted during a rotation"),
        text_setting("cluster", "seeds", "",
                     "first peers: host@address:peer_port@data_centre, comma-separated"),
        address_setting("platform", "address", "IP number of the platform's service"),
        required_setting(
            integer_setting("platform", "port", 0, 1, max_port, "", "port of the platform")),
        milliseconds_setting("platform", "timeout_ms", 1'000,
                             "longest wait for an answer of the store"),
        milliseconds_setting("platform", "host_list_period_ms", 500,
                             "period of reading the host list"),
        text_setting("log", "level", "info", "debug, info, warning or error"),
        text_setting("admin", "bootstrap_operator_digest", "",
                     "SHA-256 of an operator token that may change everything"),
        integer_setting("http", "max_body_bytes", 16'777'216, 1'024, 268'435'456, "bytes",
                        "largest request body"),
        integer_setting("http", "traffic_threads", 4, 2, 64, "threads",
                        "threads that carry traffic"),
        milliseconds_setting("http", "body_timeout_ms", 20'000, "longest time to send a body"),
        milliseconds_setting("engine", "stall_timeout_ms", 2'000,
                             "silence after which a stream's connection is given up"),
        integer_setting("engine", "tokens_per_second", 14'800, 100, 10'000'000, "tokens/s",
                        "speed of one engine in full batches"),
        milliseconds_setting("directory", "keep_for_ms", 5'000,
                             "how long callers may keep an answer"),
        milliseconds_setting("directory", "gossip_delay_ms", 10'000,
                             "bound on the time until every host has heard that one leaves"),
        milliseconds_setting("directory", "drain_timeout_ms", 60'000,
                             "longest time a stopping host waits for its requests"),
        integer_setting("journal", "writes_per_second", 40, 1, 400, "writes/s",
                        "this host's part of the fleet's write budget"),
    };
}

duration milliseconds_value(const settings& values, const char* section, const char* key) {
    return std::chrono::milliseconds(values.integer(section, key));
}

std::uint16_t port_value(const settings& values, const char* section, const char* key) {
    return static_cast<std::uint16_t>(values.integer(section, key));
}

}  // namespace

const std::vector<setting_definition>& node_setting_definitions() {
    static const std::vector<setting_definition> definitions = make_definitions();
    return definitions;
}

node_settings load_node_settings(const std::string& file,
                                 const std::vector<std::string>& overrides) {
    const settings values = load_settings(file, node_setting_definitions(), overrides);
    node_settings result;
    result.host = values.text("node", "host");
    result.data_centre = values.text("node", "data_centre");
    result.address = values.text("node", "address");
    result.http_port = port_value(values, "node", "http_port");
    result.peer_port = port_value(values, "node", "peer_port");
    const std::uint16_t listen_port = port_value(values, "node", "peer_listen_port");
    result.peer_listen_port = listen_port != 0 ? listen_port : result.peer_port;
    result.seed = static_cast<std::uint64_t>(values.integer("node", "seed"));
    result.cluster_key = values.text("cluster", "key");
    result.secondary_cluster_key = values.text("cluster", "other_key");
    result.seeds = values.list("cluster", "seeds");
    result.platform_address = values.text("platform", "address");
    result.platform_port = port_value(values, "platform", "port");
    result.platform_timeout = milliseconds_value(values, "platform", "timeout_ms");
    result.host_list_period = milliseconds_value(values, "platform", "host_list_period_ms");
    result.log_level = values.text("log", "level");
    result.bootstrap_operator_digest = values.text("admin", "bootstrap_operator_digest");
    result.max_body_bytes = values.integer("http", "max_body_bytes");
    result.traffic_threads = static_cast<int>(values.integer("http", "traffic_threads"));
    result.body_timeout = milliseconds_value(values, "http", "body_timeout_ms");
    result.stall_timeout = milliseconds_value(values, "engine", "stall_timeout_ms");
    result.engine_tokens_per_second = values.integer("engine", "tokens_per_second");
    result.directory_lifetime = milliseconds_value(values, "directory", "keep_for_ms");
    result.gossip_delay = milliseconds_value(values, "directory", "gossip_delay_ms");
    result.drain_timeout = milliseconds_value(values, "directory", "drain_timeout_ms");
    result.journal_writes_per_second = values.integer("journal", "writes_per_second");
    return result;
}

}  // namespace fuchsiaquay
