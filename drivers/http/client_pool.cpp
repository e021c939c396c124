#include "drivers/http/client_pool.hpp"

#include "drivers/http/make_http_client.hpp"

namespace fuchsiaquay {

namespace {

/// Timeout of the library. It should never be reached, as streams have stall timeouts and calls
/// have deadlines.
constexpr std::chrono::hours library_timeout(1);

std::shared_ptr<web::http::client::http_client> make_client(const std::string& address,
                                                            std::uint16_t port) {
    web::http::client::http_client_config config;
    config.set_timeout(library_timeout);
    config.set_chunksize(1 << 16);
    return make_http_client("http://" + address + ":" + std::to_string(port), config);
}

}  // namespace

client_pool::client_pool() = default;
client_pool::~client_pool() = default;

std::shared_ptr<web::http::client::http_client> client_pool::get(const std::string& address,
                                                                 std::uint16_t port) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& entry = clients_[{address, port}];
    if (!entry) {
        entry = make_client(address, port);
    }
    return entry;
}

void client_pool::drop(const std::string& address, std::uint16_t port) {
    const std::lock_guard<std::mutex> lock(mutex_);
    clients_.erase({address, port});
}

}  // namespace fuchsiaquay
