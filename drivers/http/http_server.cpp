#include "drivers/http/http_server.hpp"

#include <cpprest/http_listener.h>

#include <map>
#include <utility>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

namespace http = web::http;
using http::experimental::listener::http_listener;

class http_server::impl {
public:
    explicit impl(const std::string& uri) : uri_(uri), listener_(uri) {}

    void serve(const http::http_request& message) const {
        const std::string path = message.relative_uri().path();
        for (auto route = routes_.rbegin(); route != routes_.rend(); ++route) {
            if (path.compare(0, route->first.size(), route->first) == 0) {
                route->second(message);
                return;
            }
        }
        message.reply(http::status_codes::NotFound,
                      R"({"error":{"code":"no_such_path","message":"no such path"}})",
                      "application/json");
    }

    std::string uri_;
    http_listener listener_;
    /// Sorted by prefix, so that the longer of two matching prefixes comes later.
    std::map<std::string, handler> routes_;
    bool open_ = false;
};

http_server::http_server(std::string address, std::uint16_t port)
    : impl_(std::make_unique<impl>("http://" + std::move(address) + ":" + std::to_string(port) +
                                   "/")) {}

http_server::~http_server() {
    close();
}

void http_server::route(const std::string& prefix, handler handle) {
    impl_->routes_[prefix] = std::move(handle);
}

void http_server::open() {
    impl* target = impl_.get();
    impl_->listener_.support(
        [target](const http::http_request& message) { target->serve(message); });
    try {
        impl_->listener_.open().wait();
    } catch (const std::exception& error) {
        throw operation_error("listen", impl_->uri_, error.what());
    }
    impl_->open_ = true;
}

void http_server::close() {
    if (!impl_->open_) {
        return;
    }
    impl_->open_ = false;
    try {
        impl_->listener_.close().wait();
    } catch (const std::exception&) {
        // Ignored, because the process is about to exit.
    }
}

}  // namespace fuchsiaquay
