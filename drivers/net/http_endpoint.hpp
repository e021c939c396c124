#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

class control_loop;

/// HTTP server for small questions without a body, such as readiness and metrics.
class http_endpoint {
public:
    struct reply {
        int status = 200;
        std::string content_type = "application/json";
        std::string body;
    };
    /// Receives path and query of a GET request.
    using handler = std::function<reply(const std::string& target)>;

    /// Listens at once.
    /// @throws operation_error  the address cannot be listened at
    http_endpoint(control_loop& loop, const network_address& address, handler answer);
    http_endpoint(const http_endpoint&) = delete;
    http_endpoint& operator=(const http_endpoint&) = delete;
    ~http_endpoint();

private:
    class listener;
    class session;

    std::shared_ptr<listener> listener_;
};

/// Value of `name` in the query of `target`, with percent signs decoded; empty when absent.
std::string query_value(const std::string& target, const std::string& name);

}  // namespace fuchsiaquay
