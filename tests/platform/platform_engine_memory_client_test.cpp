#include "platform/platform_engine_memory_client.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "drivers/net/upstream_dialer.hpp"
#include "tests/drivers/traffic/broken_heads.hpp"
#include "tests/drivers/traffic/raw_server.hpp"
#include "tests/servers/recording_log.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP(platform_engine_memory_client) {
    control_loop loop_;
    recording_log log_;
    raw_server server_{loop_};
    upstream_dialer dialer_{loop_, log_};
    platform_engine_memory_client client_{loop_, log_, dialer_, std::chrono::seconds(3)};

    /// Whether an order is taken as carried out when the engine answers it with `response`.
    bool reserve(const std::string& response) {
        std::optional<bool> result;
        server_.received.clear();
        client_.reserve(server_.address(), "t1", 1'000, std::chrono::seconds(2),
                        [&result](bool held) { result = held; });
        CHECK_TRUE(server_.expect("\r\n\r\n"));
        server_.send(response);
        CHECK_TRUE(run_until(loop_, [&result] { return result.has_value(); }));
        return *result;
    }
    /// @param head  status and further fields of an answer that carries the order out
    bool reserve_with_head(const std::string& head) {
        return reserve("HTTP/1.1 " + head + "\r\nContent-Length: 12\r\n\r\n{\"free\":100}");
    }
};

TEST(platform_engine_memory_client, order_that_is_carried_out_is_held) {
    CHECK_TRUE(reserve("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"free\":100}"));
}

// Guards against an engine whose answers to orders, one on each host's channel, have no end.
TEST(platform_engine_memory_client, answer_that_is_far_too_long_fails_before_it_ends) {
    const std::string bytes(70'000, 'x');
    CHECK_FALSE(reserve("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"));
    CHECK_FALSE(reserve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + bytes));
}

TEST(platform_engine_memory_client, answer_with_a_broken_head_carries_nothing_out) {
    for (const std::string& status : invalid_statuses) {
        CHECK_FALSE(reserve_with_head(status + " X"));
        STRCMP_CONTAINS("invalid status", log_.lines.back().c_str());
    }
    for (const std::string& line : malformed_field_lines) {
        CHECK_FALSE(reserve_with_head("200 OK\r\n" + line));
    }
}
