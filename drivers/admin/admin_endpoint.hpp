#pragma once

namespace fuchsiaquay {

class admin_api;
class control_loop;
class http_server;

/// Registers `/admin/v1` at `server`. The API runs on the control thread of `loop`. All three
/// objects must outlive the requests.
void add_admin_route(http_server& server, control_loop& loop, admin_api& api);

}  // namespace fuchsiaquay
