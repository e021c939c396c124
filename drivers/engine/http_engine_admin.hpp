#pragma once

#include "servers/reservation/engine_admin.hpp"

namespace fuchsiaquay {

class client_pool;
class control_loop;

/// Streams of an engine over its HTTP interface: `GET /v1/streams`, `DELETE /v1/streams/{id}`.
class http_engine_admin final : public engine_admin {
public:
    /// The referenced objects must outlive all calls.
    http_engine_admin(control_loop& loop, client_pool& clients);

    void list_streams(const upstream& engine, report_handler done) override;
    void cancel_stream(const upstream& engine, const grant_id& stream) override;

private:
    control_loop& loop_;
    client_pool& clients_;
};

}  // namespace fuchsiaquay
