#pragma once

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "drivers/net/upstream_dialer.hpp"
#include "drivers/traffic/beast_upstream_connector.hpp"
#include "servers/relay/connection_options.hpp"
#include "servers/relay/exchange_listener.hpp"
#include "servers/relay/upstream_exchange.hpp"
#include "tests/drivers/traffic/raw_server.hpp"
#include "tests/servers/recording_log.hpp"

namespace fuchsiaquay::testing {

constexpr duration connect_limit = std::chrono::milliseconds(600);
/// More than the kernel buffers of a connection (38 MB on some machines), so that a part of a body
/// of this size is left to be sent.
constexpr std::size_t unsendable_body_bytes = 48'000'000;

class recording_listener final : public exchange_listener {
public:
    void on_head(response_head value) override { head = std::move(value); }
    void on_body(std::string_view bytes) override { body.append(bytes); }
    void on_end() override { ended = true; }
    void on_failure(const exchange_failure& value) override { failure = value; }
    void clear() {
        head = {};
        body.clear();
        ended = false;
        failure.reset();
    }

    response_head head;
    std::string body;
    bool ended = false;
    std::optional<exchange_failure> failure;
};

/// A connector and one server, whose connections and bytes the test controls.
struct upstream_connector_fixture : Utest {
    control_loop loop_;
    raw_server server_{loop_};
    recording_log log_;
    upstream_dialer dialer_{loop_, log_};
    beast_upstream_connector connector_{loop_, dialer_};
    recording_listener listener_;
    std::unique_ptr<upstream_exchange> exchange_;
    std::int64_t started_at_ms_ = 0;

    void open(std::size_t body_bytes = 0, bool new_connection = false) {
        upstream_entry upstream;
        upstream.id = "i-1";
        upstream.started_at_ms = started_at_ms_;
        upstream.address = server_.address();
        auto body = std::make_shared<const std::string>(body_bytes, 'b');
        exchange_ = connector_.open(
            upstream,
            "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n", body,
            {new_connection, connect_limit}, listener_);
    }
    bool ended() {
        return run_until(loop_, [&] { return listener_.ended || listener_.failure.has_value(); });
    }
    /// Opens an exchange and makes the server respond with `bytes`.
    void open_and_respond(const std::string& bytes) {
        server_.received.clear();
        open();
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        server_.send(bytes);
    }
};

}  // namespace fuchsiaquay::testing
