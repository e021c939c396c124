#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <memory>
#include <string>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests whose prompts have the parts `common` and `bad`; engines end under them.
TEST_GROUP(prompt_quarantine) {
    relay_fixture host_;
    std::int64_t revision_ = 2;

    void setup() override {
        for (int i = 4; i <= 8; ++i) {
            host_.add_engine("llm-" + std::to_string(i));
        }
    }
    caller_request request(int subject, const std::string& part) const {
        caller_request result = host_.request("/chat/x");
        result.prompt_parts = {"common", part};
        result.prompt_subject = static_cast<std::uint64_t>(subject);
        return result;
    }
    /// The engine of the last attempt ends, and its entry is removed.
    void end_engine() {
        const auto attempt = host_.connector.attempts.back();
        attempt->listener->on_failure({true, false, "answer: End of file"});
        const std::string& engine = attempt->upstream.id;
        ++revision_;
        host_.upstreams.on_changes({{{"u/" + engine, "", revision_}, true}}, revision_);
        host_.work_table.quarantine().on_engine_gone({engine, 0}, host_.timers.now());
        host_.timers.advance(milliseconds(200));
    }
    void list_engine(const std::string& engine, int started_at_ms) {
        ++revision_;
        const std::string text = "llm " + std::to_string(started_at_ms);
        host_.upstreams.on_changes({{{"u/" + engine, text, revision_}, false}}, revision_);
    }
    /// The engine of the last attempt ends, and its next process is listed under the same id.
    void restart_engine(int started_at_ms) {
        const auto attempt = host_.connector.attempts.back();
        attempt->listener->on_failure({true, false, "answer: End of file"});
        list_engine(attempt->upstream.id, started_at_ms);
        host_.timers.advance(milliseconds(200));
    }
    void answer_sound_request() {
        host_.serve(request(1, "good"));
        host_.connector.answer(200);
        host_.connector.body("id: 1\ndata: a\n\n");
        host_.connector.end();
    }
    void end_engines_under_requests(int requests) {
        for (int subject = 10; subject < 10 + requests; ++subject) {
            host_.serve(request(subject, "bad"));
            end_engine();
            end_engine();
        }
        host_.timers.advance(milliseconds(300));
    }
};

// Guards against requests that end one engine after the other, each request for itself.
TEST(prompt_quarantine, request_after_four_ends_is_refused_as_not_run) {
    answer_sound_request();
    end_engines_under_requests(2);
    const std::size_t before = host_.attempts();
    host_.sink.status = 0;
    host_.sink.text.clear();
    host_.serve(request(20, "bad"));
    LONGS_EQUAL(before, host_.attempts());
    LONGS_EQUAL(503, host_.sink.status);
    CHECK_TRUE(host_.sink.retry_after_ms > 0);
    CHECK_TRUE(host_.sink.text.find("prompt_part_ends_engines") != std::string::npos);
}

TEST(prompt_quarantine, sound_request_with_the_common_part_is_served) {
    answer_sound_request();
    end_engines_under_requests(2);
    const std::size_t before = host_.attempts();
    host_.serve(request(21, "good"));
    LONGS_EQUAL(before + 1, host_.attempts());
}

TEST(prompt_quarantine, request_at_an_engine_is_withdrawn_before_its_answer_begins) {
    answer_sound_request();
    end_engines_under_requests(1);
    host_.serve(request(11, "bad"));
    end_engine();
    const auto attempt = host_.connector.attempts.back();
    CHECK_TRUE(attempt->open);
    host_.sink.status = 0;
    host_.sink.text.clear();
    host_.work_table.quarantine().merge({{}, {}, {}, {{"bad", host_.timers.now() + seconds(60)}}},
                                        host_.timers.now());
    host_.timers.advance(milliseconds(100));
    CHECK_FALSE(attempt->open);
    LONGS_EQUAL(502, host_.sink.status);
}

// Guards against ends that never count because the engines return under their ids.
TEST(prompt_quarantine, request_after_four_restarts_of_engines_is_refused_as_not_run) {
    host_.upstreams.on_restarted([this](const upstream_lifetime& upstream) {
        host_.work_table.quarantine().on_engine_restarted(upstream, host_.timers.now());
    });
    for (int i = 1; i <= 8; ++i) {
        list_engine("llm-" + std::to_string(i), 1);
    }
    answer_sound_request();
    for (int subject = 10; subject < 12; ++subject) {
        host_.serve(request(subject, "bad"));
        restart_engine(subject);
        restart_engine(subject);
    }
    host_.timers.advance(milliseconds(300));
    const std::size_t before = host_.attempts();
    host_.serve(request(20, "bad"));
    LONGS_EQUAL(before, host_.attempts());
    LONGS_EQUAL(503, host_.sink.status);
}
