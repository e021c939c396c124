#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

/// What the log and the metrics say of the end of an upstream's answer.
TEST_GROUP(answer_end) {
    relay_fixture host_;

    void check_logged(const std::string& end) {
        const std::string& line = host_.log.lines.back();
        LONGS_EQUAL(0, line.find("request_ended"));
        STRCMP_CONTAINS(("answer_end=" + end + " ").c_str(), line.c_str());
    }
    void check_counted(const std::vector<std::string>& ends) {
        CHECK_TRUE(host_.metrics.received_answers == ends);
    }
};

TEST(answer_end, framed_answer_is_told_by_its_framing) {
    host_.serve(host_.request("/lookup/1"));
    host_.connector.answer(200);
    host_.connector.body("done");
    host_.connector.end();
    check_logged("framing");
    check_counted({"framing"});
}

TEST(answer_end, answer_without_framing_is_told_by_its_connection) {
    host_.serve(host_.request("/order/1"));
    host_.connector.answer(200, {{"until-close", ""}});
    host_.connector.body("done");
    host_.connector.end();
    check_logged("connection");
    check_counted({"connection"});
}

TEST(answer_end, request_without_an_answer_has_none) {
    host_.serve(host_.request("/order/1"));
    host_.connector.fail(true);
    check_logged("");
    check_counted({});
}

// Guards against a part of an answer that looks complete because the upstream has restarted at its
// address.
TEST(answer_end, answer_of_an_earlier_process_that_is_told_by_its_connection_is_not_complete) {
    host_.serve(host_.request("/order/1"));
    host_.connector.answer(200, {{"until-close", ""}});
    host_.connector.body("half of");
    const std::string key = "u/" + host_.connector.last().upstream.id;
    host_.upstreams.on_changes({{{key, "shop 7", 3}, false}}, 3);
    host_.connector.end();
    LONGS_EQUAL(502, host_.sink.status);
    check_counted({});
    CHECK_TRUE(host_.metrics.rejected_answers == std::vector<std::string>{"unconfirmed"});
}

// Guards against a part of an answer that looks complete because another upstream has its address.
TEST(answer_end, answer_that_is_told_by_a_connection_to_a_reassigned_address_is_not_complete) {
    host_.serve(host_.request("/order/1"));
    host_.connector.answer(200, {{"until-close", ""}});
    host_.connector.body("half of");
    const std::string id = host_.connector.last().upstream.id;
    // The last character of an id stands for the address.
    host_.upstreams.on_changes({{{"u/new-" + id, "shop", 3}, false}}, 3);
    host_.upstreams.on_changes({{{"u/" + id, "", 4}, true}}, 4);
    host_.connector.end();
    LONGS_EQUAL(502, host_.sink.status);
    CHECK_TRUE(host_.metrics.rejected_answers == std::vector<std::string>{"unconfirmed"});
}

// Some upstreams leave the catalogue before they end.
TEST(answer_end, answer_of_an_upstream_that_is_no_longer_listed_is_complete) {
    host_.serve(host_.request("/order/1"));
    host_.connector.answer(200, {{"until-close", ""}});
    host_.connector.body("all of it");
    const std::string key = "u/" + host_.connector.last().upstream.id;
    host_.upstreams.on_changes({{{key, "", 3}, true}}, 3);
    host_.connector.end();
    LONGS_EQUAL(200, host_.sink.status);
}

TEST(answer_end, framed_answer_of_an_earlier_process_is_complete) {
    host_.serve(host_.request("/order/1"));
    host_.connector.answer(200);
    host_.connector.body("all of it");
    const std::string key = "u/" + host_.connector.last().upstream.id;
    host_.upstreams.on_changes({{{key, "shop 7", 3}, false}}, 3);
    host_.connector.end();
    LONGS_EQUAL(200, host_.sink.status);
}
