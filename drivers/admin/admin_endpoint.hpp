#pragma once

#include <optional>
#include <string>

namespace web::http {
class http_request;
}

namespace fuchsiaquay {

class admin_api;
class control_loop;
class http_server;
struct admin_request;

/// Registers `/admin/v1` at `server`. The API runs on the control thread of `loop`. All three
/// objects must outlive the requests.
void add_admin_route(http_server& server, control_loop& loop, admin_api& api);

/// Reads a request whose body has been received. Returns nothing when its target has malformed
/// escapes.
std::optional<admin_request> read_admin_request(const web::http::http_request& message,
                                                const std::string& body);

}  // namespace fuchsiaquay
