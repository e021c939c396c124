#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/time/clock.hpp"
#include "drivers/api/api_services.hpp"

namespace web::http {
class http_request;
}

namespace fuchsiaquay {

class completion_session;
class contract_view;
class entrypoint_source;
class http_server;

/// HTTP API for callers: completions, service calls and the list of entry points.
class caller_api : public std::enable_shared_from_this<caller_api> {
public:
    /// @param id_prefix  host and incarnation, which make request ids unique in the fleet
    caller_api(api_services services, const contract_view& contracts,
               const entrypoint_source& entrypoints, std::string id_prefix);
    caller_api(const caller_api&) = delete;
    caller_api& operator=(const caller_api&) = delete;
    ~caller_api();

    /// Registers the routes of this API.
    void add_routes(http_server& server);
    /// Writes keep-alive comments on idle streams. Call periodically on the control thread.
    void keep_alive(instant now);

private:
    void serve_completion(const web::http::http_request& message, bool chat);
    void begin_completion(const web::http::http_request& message, bool chat,
                          const std::string& text);
    void serve_service(const web::http::http_request& message);
    void begin_service(const web::http::http_request& message, const std::string& body);
    void serve_entrypoints(const web::http::http_request& message);
    std::string next_request_id();

    api_services services_;
    const contract_view& contracts_;
    const entrypoint_source& entrypoints_;
    std::string id_prefix_;
    std::atomic<std::uint64_t> last_request_{0};
    std::mutex mutex_;
    std::vector<std::weak_ptr<completion_session>> sessions_;
};

}  // namespace fuchsiaquay
