#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace web::http {
class http_request;
}

namespace fuchsiaquay {

/// HTTP listener with handlers by path prefix; the longest prefix wins. Handlers run on the
/// library's traffic threads and must not block.
class http_server {
public:
    using handler = std::function<void(const web::http::http_request&)>;

    http_server(std::string address, std::uint16_t port);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Registers a handler. Call before `open`.
    void route(const std::string& prefix, handler handle);
    /// Starts listening.
    /// @throws operation_error when the address cannot be bound
    void open();
    /// Stops listening. The library cuts open streams: drain first.
    void close();

private:
    class binding;

    std::unique_ptr<binding> binding_;
};

}  // namespace fuchsiaquay
