#pragma once

#include <string>

namespace fuchsiaquay {

class client_pool;
class control_loop;
class engine_client;
class request_metrics;
class request_pipeline;
struct api_limits;

/// What the caller side of a node works with. Everything outlives the sessions.
struct api_services {
    control_loop& loop;
    request_pipeline& pipeline;
    engine_client& engines;
    client_pool& clients;
    request_metrics& metrics;
    const api_limits& limits;
    std::string cluster_key;
};

}  // namespace fuchsiaquay
