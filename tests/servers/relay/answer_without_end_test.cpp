#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;

/// Upstreams that send bytes without end. The host has memory for three of their answers.
TEST_GROUP(answer_without_end) {
    relay_fixture host_;
    recording_sink sinks_[3];
    std::vector<std::unique_ptr<active_request>> requests_;

    /// Serves a request whose upstream begins an answer with `bytes`.
    void begin_answer(recording_sink & sink, const std::string& bytes,
                      const std::string& target = "/lookup/x") {
        requests_.push_back(host_.queue.serve(host_.request(target), sink));
        host_.connector.answer(200);
        host_.connector.body(bytes);
    }
    void add_bytes(std::size_t attempt, std::size_t bytes) {
        host_.connector.attempts[attempt]->listener->on_body(std::string(bytes, 'x'));
    }
};

// Guards against hosts that keep all of several answers without end and run out of memory.
TEST(answer_without_end, largest_answer_fails_when_answers_exceed_their_memory) {
    begin_answer(sinks_[0], std::string(8'000'000, 'x'));
    begin_answer(sinks_[1], std::string(7'000'000, 'x'));
    begin_answer(sinks_[2], "sound");
    add_bytes(1, 1'000'000);
    host_.timers.advance(milliseconds(1));
    CHECK_TRUE(host_.connector.attempts[0]->open || host_.connector.attempts[1]->open);
    CHECK_FALSE(host_.connector.attempts[0]->open && host_.connector.attempts[1]->open);
    CHECK_TRUE(host_.memory.used() < relay_memory_bytes);
    CHECK_TRUE(host_.connector.attempts[2]->open);
    host_.connector.attempts[2]->listener->on_end();
    LONGS_EQUAL(200, sinks_[2].status);
}

TEST(answer_without_end, events_without_end_count_until_they_are_complete) {
    begin_answer(sinks_[0], "id: 1\ndata: " + std::string(900'000, 'x'), "/chat/x");
    CHECK_TRUE(host_.memory.used() >= 900'000);
    host_.connector.body("\n\n");
    LONGS_EQUAL(0, host_.memory.used());
}

TEST(answer_without_end, answers_that_end_leave_nothing_behind) {
    begin_answer(sinks_[0], std::string(1'000'000, 'x'));
    begin_answer(sinks_[1], std::string(1'000'000, 'x'));
    CHECK_TRUE(host_.memory.used() >= 2'000'000);
    host_.connector.end();
    requests_.clear();
    LONGS_EQUAL(0, host_.memory.used());
}

// Guards against a second answer to a request whose answer becomes complete before it is dropped.
TEST(answer_without_end, answer_that_becomes_complete_before_it_is_dropped_is_sent_once) {
    begin_answer(sinks_[0], std::string(8'000'000, 'x'));
    begin_answer(sinks_[1], std::string(7'000'000, 'x'));
    begin_answer(sinks_[2], std::string(7'000'000, 'x'));
    for (std::size_t i = 0; i < 3; ++i) {
        host_.connector.attempts[i]->listener->on_end();
    }
    host_.timers.advance(milliseconds(100));
    for (const recording_sink& sink : sinks_) {
        LONGS_EQUAL(200, sink.status);
        LONGS_EQUAL(1, sink.answers);
    }
    LONGS_EQUAL(3, host_.attempts());
}
