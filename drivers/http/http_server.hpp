#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace web::http {
class http_request;
}

namespace fuchsiaquay {

/// HTTP listener that selects a handler by the longest matching path prefix. Handlers run on
/// threads of the HTTP library and must not block.
class http_server {
public:
    using handler = std::function<void(const web::http::http_request&)>;

    http_server(std::string address, std::uint16_t port);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Registers the handler of a path prefix. Call before `open`.
    void route(const std::string& prefix, handler handle);
    /// Starts listening.
    /// @throws operation_error  if the address cannot be bound
    void open();
    /// Stops listening. The library aborts open streams, so drain the node first.
    void close();

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

}  // namespace fuchsiaquay
