#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time within which a change in the store reaches the host: one poll.
constexpr duration poll_time = milliseconds(510);
constexpr const char* first_event = "id: 1\ndata: a\n\n";

}  // namespace

/// Two upstreams of each service in each of the data centres a, b and c, which the operator
/// evacuates.
TEST_GROUP(evacuations) {
    relay_fixture host_{true};
    manual_connector& upstream_ = host_.connector;
    recording_sink& caller_ = host_.sink;
    int requests_ = 0;

    void setup() override {
        use_upstreams({"llm-a1", "llm-a2", "llm-b1", "llm-b2", "llm-c1", "llm-c2", "shop-a1",
                       "shop-a2", "shop-b1", "shop-b2", "shop-c1", "shop-c2"});
    }
    void use_upstreams(const std::vector<std::string>& ids) {
        std::vector<stored_value> values;
        values.reserve(ids.size());
        for (const std::string& id : ids) {
            values.push_back({"u/" + id, id.substr(0, id.find('-')), 5});
        }
        host_.upstreams.on_snapshot(values, 5, false);
    }
    void begin(const std::string& data_centre) {
        host_.store.put("config/evacuate/" + data_centre, "{}");
        host_.timers.advance(poll_time);
    }
    void end(const std::string& data_centre) {
        host_.store.erase("config/evacuate/" + data_centre);
        host_.timers.advance(poll_time);
    }
    caller_request next(const std::string& target, std::int64_t prompt = 1'000) {
        caller_request result = host_.request(target, prompt);
        result.id = "q" + std::to_string(++requests_);
        return result;
    }
    /// Serves requests without answering them, and counts those that reached `data_centre`.
    int sent_to(const std::string& data_centre, const std::string& target) {
        int found = 0;
        for (int i = 0; i < 24; ++i) {
            const std::size_t before = host_.attempts();
            host_.serve(next(target));
            if (host_.attempts() > before && upstream_.last().upstream.data_centre == data_centre) {
                ++found;
            }
        }
        return found;
    }
};

TEST(evacuations, upstreams_of_the_data_centre_get_no_requests_until_it_ends) {
    for (const char* target : {"/order/1", "/lookup/1", "/chat/1"}) {
        host_.serve(next(target));
        const std::string usual = upstream_.last().upstream.data_centre;
        CHECK_TRUE(sent_to(usual, target) > 0);
        begin(usual);
        LONGS_EQUAL(0, sent_to(usual, target));
        const std::size_t before = host_.attempts();
        host_.serve(next(target));
        LONGS_EQUAL(before + 1, host_.attempts());
        end(usual);
        CHECK_TRUE(sent_to(usual, target) > 0);
    }
}

TEST(evacuations, overlapping_evacuations_leave_the_third_data_centre) {
    begin("a");
    begin("b");
    for (const char* target : {"/order/1", "/chat/1"}) {
        LONGS_EQUAL(0, sent_to("a", target));
        LONGS_EQUAL(0, sent_to("b", target));
        LONGS_EQUAL(24, sent_to("c", target));
    }
    end("a");
    CHECK_TRUE(sent_to("a", "/order/1") > 0);
    LONGS_EQUAL(0, sent_to("b", "/order/1"));
}

TEST(evacuations, request_is_refused_at_once_if_all_are_evacuated) {
    for (const char* data_centre : {"a", "b", "c"}) {
        begin(data_centre);
    }
    for (const char* target : {"/order/1", "/chat/1"}) {
        const std::size_t before = host_.attempts();
        host_.serve(next(target));
        LONGS_EQUAL(before, host_.attempts());
        LONGS_EQUAL(503, caller_.status);
        CHECK_TRUE(caller_.own);
        CHECK_EQUAL(std::string(R"({"error":"data_centres_evacuated"})"), caller_.text);
        CHECK_TRUE(caller_.retry_after_ms >= 1'000);
    }
}

TEST(evacuations, upstream_of_unknown_data_centre_is_used_only_outside_of_evacuations) {
    use_upstreams({"shop-1", "shop-b1"});
    CHECK_TRUE(sent_to("", "/order/1") > 0);
    begin("a");
    LONGS_EQUAL(0, sent_to("", "/order/1"));
    CHECK_TRUE(sent_to("b", "/order/1") > 0);
}

TEST(evacuations, work_at_an_evacuated_engine_is_finished) {
    use_upstreams({"llm-a1"});
    host_.serve(next("/chat/1"));
    upstream_.answer(200);
    upstream_.body(first_event);
    begin("a");
    upstream_.body("id: 2\ndata: b\n\n");
    upstream_.end();
    CHECK_EQUAL(std::string(first_event) + "id: 2\ndata: b\n\n", caller_.text);
    LONGS_EQUAL(1, caller_.answers);
}

TEST(evacuations, repeat_goes_to_another_data_centre) {
    use_upstreams({"shop-a1", "shop-a2"});
    host_.serve(next("/lookup/1"));
    begin("a");
    use_upstreams({"shop-a1", "shop-a2", "shop-b1"});
    upstream_.fail(true);
    LONGS_EQUAL(2, host_.attempts());
    CHECK_EQUAL(std::string("shop-b1"), upstream_.last().upstream.id);
}

TEST(evacuations, broken_stream_resumes_at_another_data_centre) {
    use_upstreams({"llm-a1", "llm-a2"});
    host_.serve(next("/chat/1"));
    upstream_.answer(200);
    upstream_.body(first_event);
    begin("a");
    use_upstreams({"llm-a1", "llm-a2", "llm-b1"});
    upstream_.fail(true);
    LONGS_EQUAL(2, host_.attempts());
    CHECK_EQUAL(std::string("llm-b1"), upstream_.last().upstream.id);
}

TEST(evacuations, no_attempt_beside_a_silent_engine_goes_to_the_data_centre) {
    use_upstreams({"llm-a1", "llm-a2"});
    host_.serve(next("/chat/1"));
    upstream_.answer(200);
    upstream_.body(first_event);
    begin("a");
    host_.timers.advance(seconds(3));
    LONGS_EQUAL(1, host_.attempts());
    LONGS_EQUAL(0, caller_.aborted);
}

TEST(evacuations, engine_chosen_before_its_evacuation_is_not_used_after_the_claim) {
    host_.store.put("config/evacuate/b", "{}");
    host_.timers.advance(poll_time);
    use_upstreams({"llm-a1", "llm-c5"});
    host_.serve(next("/chat/1", 40'000));
    LONGS_EQUAL(0, host_.attempts());
    const std::string claimed = host_.work_table.own_work_items().front().engine;
    const std::string data_centre = claimed.substr(4, 1);
    host_.evacuations.merge({{data_centre}, 90}, 90, "peer");
    host_.timers.advance(4 * claim_settle_time);
    LONGS_EQUAL(1, host_.attempts());
    CHECK_TRUE(upstream_.last().upstream.data_centre != data_centre);
    const upstream_entry* evacuated = host_.upstreams.find(claimed);
    LONGS_EQUAL(std::string::npos, upstream_.last().head.find(evacuated->address.text()));
}

TEST(evacuations, prompt_of_several_engines_is_not_sent_if_one_is_evacuated_meanwhile) {
    use_upstreams({"llm-a1", "llm-b1", "llm-c1"});
    host_.memory_client.hold_answers = true;
    host_.serve_long(next("/chat/1", 600'000));
    LONGS_EQUAL(3, host_.memory_client.reserves);
    LONGS_EQUAL(0, host_.attempts());
    host_.evacuations.merge({{"c"}, 90}, 90, "peer");
    host_.memory_client.deliver_answers();
    host_.timers.advance(milliseconds(10));
    LONGS_EQUAL(0, host_.attempts());
    CHECK_TRUE(host_.memory_client.held.empty());
}

TEST(evacuations, memory_is_reserved_only_at_engines_of_other_data_centres) {
    use_upstreams({"llm-a1", "llm-a2", "llm-b3", "llm-b4", "llm-c5", "llm-c6"});
    begin("c");
    host_.serve_long(next("/chat/1", 600'000));
    LONGS_EQUAL(1, host_.attempts());
    const std::string& head = upstream_.last().head;
    CHECK_TRUE(upstream_.last().upstream.data_centre != "c");
    CHECK_TRUE(head.find(" with=") != std::string::npos);
    for (const char* id : {"llm-c5", "llm-c6"}) {
        const upstream_entry* entry = host_.upstreams.find(id);
        LONGS_EQUAL(std::string::npos, head.find(entry->address.text()));
    }
}

TEST(evacuations, half_open_circuit_is_not_tried_at_an_evacuated_upstream) {
    use_upstreams({"shop-a1", "shop-b1"});
    for (int i = 0; i < 12; ++i) {
        host_.health.on_result(upstream_id("shop-a1"), attempt_evidence::failed,
                               host_.timers.now());
    }
    begin("a");
    for (int i = 0; i < 40; ++i) {
        host_.timers.advance(milliseconds(250));
        LONGS_EQUAL(0, sent_to("a", "/order/1"));
        host_.active.reset();
    }
}

TEST(evacuations, waiting_request_is_placed_at_another_data_centre) {
    use_upstreams({"shop-a1"});
    std::vector<std::unique_ptr<active_request>> others;
    recording_sink other_callers;
    while (others.size() == host_.attempts()) {
        others.push_back(host_.queue.serve(next("/lookup/1"), other_callers));
    }
    const std::size_t before = host_.attempts();
    host_.evacuations.merge({{"a"}, 90}, 90, "peer");
    use_upstreams({"shop-a1", "shop-b1"});
    host_.timers.advance(milliseconds(100));
    LONGS_EQUAL(before + 1, host_.attempts());
    CHECK_EQUAL(std::string("shop-b1"), upstream_.last().upstream.id);
}

TEST(evacuations, host_whose_copy_is_too_old_refuses) {
    host_.store.down = true;
    host_.timers.advance(seconds(6));
    host_.serve(next("/order/1"));
    LONGS_EQUAL(0, host_.attempts());
    LONGS_EQUAL(503, caller_.status);
    CHECK_TRUE(caller_.retry_after_ms > 0 && caller_.retry_after_ms <= 1'000);
    // Requests without a key do not depend on the age of the configuration otherwise.
    host_.serve(next("/public/1"));
    LONGS_EQUAL(0, host_.attempts());
    CHECK_EQUAL(std::string(R"({"error":"evacuations_unknown"})"), caller_.text);
    host_.store.down = false;
    host_.timers.advance(seconds(2));
    host_.serve(next("/order/1"));
    LONGS_EQUAL(1, host_.attempts());
}

TEST(evacuations, broken_stream_waits_until_the_host_knows_again) {
    host_.serve(next("/chat/1"));
    upstream_.answer(200);
    host_.store.down = true;
    for (int id = 1; id <= 60; ++id) {
        upstream_.body("id: " + std::to_string(id) + "\ndata: a\n\n");
        host_.timers.advance(milliseconds(100));
    }
    upstream_.fail(true);
    LONGS_EQUAL(1, host_.attempts());
    host_.store.down = false;
    host_.timers.advance(milliseconds(900));
    LONGS_EQUAL(2, host_.attempts());
}

TEST_GROUP(evacuations_not_used) {
    relay_fixture host_;
};

TEST(evacuations_not_used, keys_of_evacuations_have_no_effect) {
    host_.upstreams.on_snapshot({{"u/shop-a1", "shop", 5}}, 5, false);
    host_.store.put("config/evacuate/a", "{}");
    host_.timers.advance(poll_time);
    host_.serve(host_.request("/order/1"));
    LONGS_EQUAL(1, host_.attempts());
    // Without them, requests without a key are served from a configuration of any age.
    host_.store.down = true;
    host_.timers.advance(seconds(6));
    host_.serve(host_.request("/public/1"));
    LONGS_EQUAL(2, host_.attempts());
}
