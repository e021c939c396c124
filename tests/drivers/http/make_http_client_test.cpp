#include "drivers/http/make_http_client.hpp"

#include <CppUTest/TestHarness.h>
// Needs the header above.
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <atomic>
#include <memory>
#include <string>

#include "tests/drivers/traffic/broken_heads.hpp"
#include "tests/drivers/traffic/raw_server.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

/// The library allocates from its own threads, which CppUTest's leak detection cannot handle. Leaks
/// are looked for by the address sanitizer.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

struct call_outcome {
    std::atomic<bool> done{false};
    std::string failure;
    int status = 0;
    std::string body;
};

}  // namespace

TEST_GROUP(make_http_client) {
    control_loop loop_;
    raw_server server_{loop_};

    void setup() override {
        CHECK_TRUE(leak_detection_off);
    }
    /// Calls the server, which answers with `bytes` and then ends the connection.
    std::shared_ptr<call_outcome> call(const std::string& bytes, bool reset = false) {
        server_.received.clear();
        const network_address address = server_.address();
        auto client = make_http_client("http://" + address.text(), {});
        auto outcome = std::make_shared<call_outcome>();
        client->request(web::http::methods::GET, "/")
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

TEST(make_http_client, sound_answer_is_passed_on) {
    const auto outcome = call("HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno");
    CHECK_EQUAL(std::string(), outcome->failure);
    LONGS_EQUAL(404, outcome->status);
    CHECK_EQUAL(std::string("no"), outcome->body);
}

TEST(make_http_client, status_outside_of_the_protocol_is_a_failure) {
    for (const std::string& status : invalid_statuses) {
        check_rejected("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
    }
}

TEST(make_http_client, status_that_is_no_number_of_three_digits_is_a_failure) {
    for (const char* status : {"-36", "20", "2000", "65736", "x"}) {
        check_rejected("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok");
    }
}

TEST(make_http_client, answer_without_length_ends_at_close_and_fails_on_reset) {
    CHECK_EQUAL(std::string("all of it"), call("HTTP/1.1 200 OK\r\n\r\nall of it")->body);
    CHECK_FALSE(call("HTTP/1.1 200 OK\r\n\r\nhalf of", true)->failure.empty());
    CHECK_FALSE(call("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf of")->failure.empty());
    CHECK_FALSE(
        call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf")->failure.empty());
}
