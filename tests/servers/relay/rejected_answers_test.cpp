#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::seconds;

/// Answers that began and were not accepted by the connector.
TEST_GROUP(rejected_answers) {
    relay_fixture host_;
    manual_connector& upstream_ = host_.connector;
    recording_sink& caller_ = host_.sink;

    void reject() {
        upstream_.fail(true, "answer: invalid status 000", answer_fault::invalid_status);
    }
    void check_counted(std::size_t count) {
        LONGS_EQUAL(count, host_.metrics.rejected_answers.size());
        for (const std::string& fault : host_.metrics.rejected_answers) {
            CHECK_EQUAL(std::string("invalid_status"), fault);
        }
        int named = 0;
        for (const std::string& line : host_.log.lines) {
            named += line.find("attempt_failed") == 0 &&
                             line.find("reason=answer: invalid status 000") != std::string::npos
                         ? 1
                         : 0;
        }
        LONGS_EQUAL(count, named);
    }
};

TEST(rejected_answers, repeatable_request_is_sent_to_another_upstream) {
    host_.serve(host_.request("/lookup/1"));
    reject();
    LONGS_EQUAL(2, host_.attempts());
    upstream_.answer(200);
    upstream_.body("done");
    upstream_.end();
    LONGS_EQUAL(200, caller_.status);
    CHECK_EQUAL(std::string("done"), caller_.text);
    check_counted(1);
}

TEST(rejected_answers, second_one_of_a_request_ends_it_as_failed) {
    host_.serve(host_.request("/lookup/1"));
    reject();
    reject();
    LONGS_EQUAL(2, host_.attempts());
    LONGS_EQUAL(502, caller_.status);
    LONGS_EQUAL(1, caller_.answers);
    check_counted(2);
}

TEST(rejected_answers, unrepeatable_request_is_not_sent_again) {
    host_.serve(host_.request("/order/1"));
    reject();
    LONGS_EQUAL(1, host_.attempts());
    LONGS_EQUAL(502, caller_.status);
    check_counted(1);
}

TEST(rejected_answers, resumed_stream_is_not_ended_as_complete) {
    const std::string events = "id: 1\ndata: a\n\n";
    host_.serve(host_.request("/chat/1"));
    upstream_.answer(200);
    upstream_.body(events);
    upstream_.fail(true);
    LONGS_EQUAL(2, host_.attempts());
    reject();
    host_.timers.advance(seconds(3));
    CHECK_EQUAL(events, caller_.text);
    LONGS_EQUAL(0, caller_.answers);
    LONGS_EQUAL(1, caller_.aborted);
    check_counted(1);
}

TEST(rejected_answers, lost_connection_without_an_answer_is_not_counted) {
    host_.serve(host_.request("/order/1"));
    upstream_.fail(true);
    check_counted(0);
}
