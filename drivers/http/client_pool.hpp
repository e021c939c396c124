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

/// HTTP clients by address and port; each has its own connections. Thread-safe.
class client_pool {
public:
    client_pool();
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;
    ~client_pool();

    std::shared_ptr<web::http::client::http_client> get(const std::string& address,
                                                        std::uint16_t port);
    /// Removes the client of an address, so that the next call opens a new connection.
    void drop(const std::string& address, std::uint16_t port);

private:
    std::mutex mutex_;
    std::map<std::pair<std::string, std::uint16_t>, std::shared_ptr<web::http::client::http_client>>
        clients_;
};

}  // namespace fuchsiaquay
