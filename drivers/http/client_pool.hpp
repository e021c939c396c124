#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace web::http::client {
class http_client;
}

namespace fuchsiaquay {

/// HTTP clients by address and port; each keeps its own connections. Safe from any thread.
class client_pool {
public:
    client_pool();
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;
    ~client_pool();

    std::shared_ptr<web::http::client::http_client> get(const std::string& address,
                                                        std::uint16_t port);
    /// A client without any connection. The library silently sends a request again when a kept
    /// connection breaks under it; on a new connection it never does. For calls that must not run
    /// twice.
    static std::shared_ptr<web::http::client::http_client> make_client(const std::string& address,
                                                                       std::uint16_t port);
    /// Forgets the connections to an address, so that the next call opens a new one.
    void drop(const std::string& address, std::uint16_t port);

private:
    std::mutex mutex_;
    std::map<std::pair<std::string, std::uint16_t>, std::shared_ptr<web::http::client::http_client>>
        clients_;
};

}  // namespace fuchsiaquay
