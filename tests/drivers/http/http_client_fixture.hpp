#pragma once

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <memory>
#include <string>

#include "drivers/http/make_http_client.hpp"
#include "tests/drivers/traffic/raw_server.hpp"
#include "tests/leak_detection_off.hpp"

namespace fuchsiaquay::testing {

struct call_outcome {
    std::atomic<bool> done{false};
    std::string failure;
    int status = 0;
    std::string body;
};

/// Clients of the HTTP library and one server, whose answers the test writes byte by byte.
struct http_client_fixture : Utest {
    control_loop loop_;
    raw_server server_{loop_};

    void setup() override { CHECK_TRUE(leak_detection_off); }
    /// Calls the server, which answers with `bytes` and then ends the connection.
    std::shared_ptr<call_outcome> call(const std::string& bytes, bool reset = false,
                                       const web::http::http_request& message = {}) {
        server_.received.clear();
        const network_address address = server_.address();
        auto client = make_http_client("http://" + address.text(), {});
        auto outcome = std::make_shared<call_outcome>();
        client->request(message)
            .then([outcome](const web::http::http_response& response) {
                outcome->status = response.status_code();
                return response.extract_utf8string(true);
            })
            .then([outcome, client](const pplx::task<std::string>& read) {
                try {
                    outcome->body = read.get();
                } catch (const std::exception& error) {
                    outcome->failure = error.what();
                }
                outcome->done = true;
            });
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        server_.send(bytes);
        server_.close(reset);
        CHECK_TRUE(run_until(loop_, [outcome] { return outcome->done.load(); }));
        return outcome;
    }
    void check_rejected(const std::string& bytes) {
        const auto outcome = call(bytes);
        CHECK_FALSE_TEXT(outcome->failure.empty(), bytes.c_str());
        LONGS_EQUAL(0, outcome->status);
    }
};

}  // namespace fuchsiaquay::testing
