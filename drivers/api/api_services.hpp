#pragma once

#include <string>

namespace fuchsiaquay {

class client_pool;
class control_loop;
class engine_client;
class request_metrics;
class request_pipeline;
struct api_limits;

/// Services that the API for callers uses. All referenced objects must outlive the sessions.
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
