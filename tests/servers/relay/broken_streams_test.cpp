#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::seconds;

namespace {

const std::string first_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

}  // namespace

/// A stream begins at one upstream and breaks off, and further upstreams are asked to go on.
TEST_GROUP(broken_streams) {
    std::unique_ptr<relay_fixture> host_ = std::make_unique<relay_fixture>();

    /// Begins a stream that breaks off inside its third event.
    void break_stream(const std::string& target) {
        host_ = std::make_unique<relay_fixture>();
        host_->serve(host_->request(target));
        host_->connector.answer(200);
        host_->connector.body(first_events + "id: 3\nda");
        host_->connector.fail(true);
        LONGS_EQUAL(2, host_->attempts());
        CHECK_TRUE(host_->connector.last().head.find("after=2 ") != std::string::npos);
    }
    /// The next upstream answers with a head and, if the head is accepted, a body.
    void answer_whole(int status, const header_list& headers, const std::string& body) {
        const auto attempt = host_->connector.attempts.back();
        host_->connector.answer(status, headers);
        if (attempt->open) {
            attempt->listener->on_body(body);
        }
        if (attempt->open) {
            attempt->listener->on_end();
        }
    }
    /// Checks that the caller received the first events and nothing that looks like an end.
    void check_aborted() {
        CHECK_EQUAL(first_events, host_->sink.text);
        LONGS_EQUAL(1, host_->sink.begun);
        LONGS_EQUAL(1, host_->sink.aborted);
        LONGS_EQUAL(0, host_->sink.answers);
        LONGS_EQUAL(200, host_->sink.status);
    }
    /// Checks that the next attempt is asked to continue after event 2, and that its events
    /// complete the stream.
    void check_continued(std::size_t attempts) {
        host_->timers.advance(seconds(1));
        LONGS_EQUAL(attempts, host_->attempts());
        CHECK_TRUE(host_->connector.last().head.find("after=2 ") != std::string::npos);
        answer_whole(200, {}, "id: 3\ndata: c\n\n");
        CHECK_EQUAL(first_events + "id: 3\ndata: c\n\n", host_->sink.text);
        LONGS_EQUAL(1, host_->sink.answers);
        LONGS_EQUAL(0, host_->sink.aborted);
    }
};

// Guards against the status, head or text of another upstream's failure inside a stream that has
// begun.
TEST(broken_streams, failure_of_the_next_upstream_never_reaches_the_stream) {
    const header_list declined = {{"not-executed", "1"}};
    const header_list unnamed = {{"not-executed", "1"}, {"unnamed", "1"}};
    for (const int status : {302, 400, 404, 421, 429, 500, 502, 503, 504}) {
        for (const header_list& headers : {header_list(), declined, unnamed}) {
            break_stream("/chat/1");
            answer_whole(status, headers, "id: 3\ndata: error\n\n");
            check_aborted();
        }
    }
}

// Guards against events in a stream that no upstream vouched for as a part of it.
TEST(broken_streams, success_of_the_next_upstream_without_proof_or_id_is_not_joined) {
    for (const header_list& headers :
         {header_list{{"unsealed", "1"}}, header_list{{"id", "another-one"}},
          header_list{{"unnamed", "1"}}}) {
        break_stream("/chat/1");
        answer_whole(200, headers, "id: 3\ndata: c\n\n");
        check_aborted();
    }
}

// Guards against a success whose body is the text or the whole head of a failure.
TEST(broken_streams, text_that_is_no_event_is_not_joined) {
    for (const char* body :
         {"{\"error\":\"busy\"}", "busy\n\n", "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nbusy",
          "HTTP/1.1 500 X\r\n\r\nid: 3\ndata: c\n\n"}) {
        break_stream("/chat/1");
        answer_whole(200, {}, body);
        check_aborted();
    }
}

// Guards against a repeated or missing event, and against an end inside an event.
TEST(broken_streams, events_that_do_not_follow_the_last_one_are_not_joined) {
    for (const char* body :
         {"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", "id: 2\ndata: b\n\n",
          "id: 4\ndata: d\n\n", "id: 3\ndata: c", "id: 3\ndata: c\n\nid: 5\ndata: e\n\n"}) {
        break_stream("/chat/1");
        answer_whole(200, {}, body);
        check_aborted();
    }
}

// Guards against a false end: the first upstream had begun an event that never arrived.
TEST(broken_streams, answer_without_the_event_that_had_begun_does_not_end_the_stream) {
    break_stream("/chat/1");
    answer_whole(200, {}, "");
    check_aborted();
    break_stream("/talk/1");
    answer_whole(200, {}, "");
    check_continued(3);
}

// Guards against a false end: the first upstream broke off between two events, and the next one
// ends the stream without an event.
TEST(broken_streams, answer_without_an_event_does_not_end_the_stream) {
    for (const std::size_t upstreams : {2, 3}) {
        host_ = std::make_unique<relay_fixture>();
        host_->serve(host_->request(upstreams == 2 ? "/chat/1" : "/talk/1"));
        host_->connector.answer(200);
        host_->connector.body(first_events);
        host_->connector.fail(true);
        answer_whole(200, {}, "");
        if (upstreams == 2) {
            check_aborted();
        } else {
            check_continued(3);
        }
    }
}

// Guards against a stream that is cut although a third upstream could continue it, and against a
// continuation after events that the caller never received.
TEST(broken_streams, stream_continues_after_the_last_forwarded_event) {
    for (const char* body :
         {"id: 1\ndata: a\n\n", "id: 4\ndata: d\n\n", "id: 3\ndata: c\n\nid: 5\ndata: e\n\n",
          "busy\n\n", "id: 3\ndata: c"}) {
        break_stream("/talk/1");
        answer_whole(200, {}, body);
        check_continued(3);
    }
    break_stream("/talk/1");
    answer_whole(500, {}, "busy");
    check_continued(3);
}

// Guards against a false end: the stream may only end with an answer that is complete.
TEST(broken_streams, connection_that_ends_without_an_answer_does_not_end_the_stream) {
    break_stream("/chat/1");
    host_->connector.fail(true, "answer: end of stream");
    check_aborted();
    break_stream("/chat/1");
    host_->connector.answer(200);
    host_->connector.fail(true, "answer: partial message");
    check_aborted();
}

// Guards against an error text of this host after the events of a stream.
TEST(broken_streams, stream_without_another_upstream_or_time_is_cut) {
    break_stream("/chat/1");
    host_->timers.advance(seconds(10));
    check_aborted();
    host_ = std::make_unique<relay_fixture>();
    host_->serve(host_->request("/chat/1"));
    host_->connector.answer(200);
    host_->connector.body(first_events);
    host_->upstreams.on_changes(
        {{{"u/llm-1", "", 3}, true}, {{"u/llm-2", "", 3}, true}, {{"u/llm-3", "", 3}, true}}, 3);
    host_->connector.fail(true);
    host_->timers.advance(seconds(3));
    check_aborted();
}

// Guards against a false end: a comment is no part of a stream.
TEST(broken_streams, comment_of_the_next_upstream_does_not_end_the_stream) {
    for (const char* body : {":\n\n", "\n\n"}) {
        break_stream("/chat/1");
        answer_whole(200, {}, body);
        LONGS_EQUAL(1, host_->sink.aborted);
        LONGS_EQUAL(0, host_->sink.answers);
    }
}

// Guards against an engine that ends after its head, whose stream looked complete and empty.
TEST(broken_streams, stream_without_an_event_that_ends_with_its_connection_is_not_complete) {
    host_->serve(host_->request("/chat/x"));
    answer_whole(200, {{"until-close", ""}}, "");
    LONGS_EQUAL(2, host_->attempts());
    LONGS_EQUAL(0, host_->sink.begun);
    answer_whole(200, {{"until-close", ""}}, first_events);
    CHECK_EQUAL(first_events, host_->sink.text);
    LONGS_EQUAL(1, host_->sink.answers);
}

TEST(broken_streams, resumed_stream_may_end_with_its_connection_without_another_event) {
    caller_request request = host_->request("/chat/x");
    request.last_event_id = "2";
    host_->serve(request);
    answer_whole(200, {{"until-close", ""}}, "");
    LONGS_EQUAL(1, host_->attempts());
    LONGS_EQUAL(1, host_->sink.answers);
}
