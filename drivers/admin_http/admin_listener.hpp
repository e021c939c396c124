#pragma once

#include <memory>

namespace web::http {
class http_request;
}

namespace fuchsiaquay {

class admin_api;
class control_loop;

/// Takes calls of the administration API from HTTP to the control thread and their answers back.
/// Register `handle` for the path prefix `/admin/v1`.
class admin_listener {
public:
    /// `api` and `loop` outlive the listener of the HTTP server.
    admin_listener(admin_api& api, control_loop& loop) : api_(api), loop_(loop) {}

    /// Runs on a traffic thread and does not block.
    void handle(const web::http::http_request& message);

private:
    admin_api& api_;
    control_loop& loop_;
};

}  // namespace fuchsiaquay
