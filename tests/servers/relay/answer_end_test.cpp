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
