#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

class control_loop;

/// HTTP server for GET requests without a body, such as readiness checks and metrics.
class http_endpoint {
public:
    struct reply {
        int status = 200;
        std::string content_type = "application/json";
        std::string body;
    };
    /// Called with the path and query of a GET request.
    using handler = std::function<reply(const std::string& target)>;

    /// Starts to listen.
    /// @throws operation_error  `address` cannot be bound
    http_endpoint(control_loop& loop, const network_address& address, handler request_handler);
    http_endpoint(const http_endpoint&) = delete;
    http_endpoint& operator=(const http_endpoint&) = delete;
    ~http_endpoint();

private:
    class listener;
    class session;

    std::shared_ptr<listener> listener_;
};

/// Returns the percent-decoded value of the query parameter `name` of `target`; empty when absent.
std::string query_value(const std::string& target, const std::string& name);

}  // namespace fuchsiaquay
