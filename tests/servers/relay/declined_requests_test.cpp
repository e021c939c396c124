#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

TEST_GROUP(declined_requests) {
    relay_fixture host_;
    manual_connector& upstream_ = host_.connector;
    recording_sink& caller_ = host_.sink;

    void add_plain_upstream(const std::string& id) {
        host_.upstreams.on_changes({{{"u/" + id, "shop", 2}, false}}, 2);
    }
    /// Declines all further attempts until the caller has an answer.
    void decline_until_answered() {
        const int answers = caller_.answers;
        for (int i = 0; i < 10 && caller_.answers == answers; ++i) {
            if (upstream_.last().open) {
                upstream_.answer(503, {{"not-executed", "1"}});
            }
            host_.timers.advance(claim_settle_time);
        }
    }
    /// Serves a request for `target` and answers its first attempt.
    void serve_and_answer(const std::string& target, int status, const header_list& headers) {
        host_.active.reset();
        host_.serve(host_.request(target));
        upstream_.answer(status, headers);
    }
};

// Guards against a repeated refusal without an id that is taken for the answer to the next request
// on the connection: callers were told "not run" although the request ran.
TEST(declined_requests, refusal_without_an_id_on_a_reused_connection_is_no_promise) {
    host_.serve(host_.request("/lookup/1"));
    CHECK_FALSE(upstream_.last().new_connection);
    upstream_.answer(503, {{"not-executed", "1"}, {"unnamed", "1"}});
    LONGS_EQUAL(2, host_.attempts());
    decline_until_answered();
    LONGS_EQUAL(502, caller_.status);
}

// Guards against an order that runs at two upstreams because the first one repeated a refusal
// without an id.
TEST(declined_requests, order_is_not_sent_elsewhere_after_a_refusal_without_an_id) {
    for (const int status : {503, 429, 421}) {
        const std::size_t before = host_.attempts();
        serve_and_answer("/order/1", status, {{"not-executed", "1"}, {"unnamed", "1"}});
        LONGS_EQUAL(before + 1, host_.attempts());
        LONGS_EQUAL(502, caller_.status);
    }
}

// Guards against a genuine refusal that is lost because its kind carries no id: the order could
// have been served by another upstream.
TEST(declined_requests, refusal_of_a_kind_without_an_id_counts_on_a_new_connection_only) {
    serve_and_answer("/order/1", 400, {{"not-executed", "1"}, {"unnamed", "1"}});
    LONGS_EQUAL(2, host_.attempts());
    upstream_.answer(200);
    upstream_.end();
    LONGS_EQUAL(200, caller_.status);
    serve_and_answer("/lookup/1", 400, {{"not-executed", "1"}, {"unnamed", "1"}});
    LONGS_EQUAL(4, host_.attempts());
    decline_until_answered();
    LONGS_EQUAL(502, caller_.status);
}

// Guards against a repeated refusal that names its request and arrives when the request is sent to
// the same upstream again, which runs it.
TEST(declined_requests, upstream_that_declined_a_request_is_not_asked_again) {
    add_plain_upstream("shop-3");
    add_plain_upstream("shop-4");
    for (const char* target : {"/order/1", "/lookup/1"}) {
        const std::size_t first = host_.attempts();
        host_.serve(host_.request(target));
        decline_until_answered();
        std::set<std::string> asked;
        for (std::size_t i = first; i < host_.attempts(); ++i) {
            asked.insert(upstream_.attempts[i]->upstream.id);
        }
        LONGS_EQUAL(host_.attempts() - first, asked.size());
        CHECK_TRUE(asked.size() >= 3);
        LONGS_EQUAL(503, caller_.status);
        host_.active.reset();
    }
}

// Guards against a caller that waits for a second answer of upstreams that are not asked again.
TEST(declined_requests, request_declined_by_all_upstreams_is_refused_at_once) {
    host_.serve(host_.request("/order/1"));
    upstream_.answer(503, {{"not-executed", "1"}});
    LONGS_EQUAL(0, caller_.answers);
    upstream_.answer(503, {{"not-executed", "1"}});
    LONGS_EQUAL(2, host_.attempts());
    LONGS_EQUAL(1, caller_.answers);
    LONGS_EQUAL(503, caller_.status);
}

// Guards against the repeated refusal of an engine that is asked again because a helper of the
// first attempt was at fault.
TEST(declined_requests, second_refusal_of_the_same_engine_is_no_promise) {
    host_.serve_long(host_.request("/chat/1", 50'000));
    const std::string first = upstream_.last().upstream.id;
    const std::string& head = upstream_.last().head;
    const std::size_t at = head.find("with=");
    CHECK_TRUE(at != std::string::npos);
    const std::string helper = head.substr(at + 5, head.find(' ', at) - at - 5);
    for (const char* id : {"llm-1", "llm-2", "llm-3"}) {
        const upstream_entry* entry = host_.upstreams.find(id);
        if (id != first && entry->address.text() != helper) {
            host_.upstreams.on_changes({{{"u/" + std::string(id), "", 3}, true}}, 3);
        }
    }
    upstream_.answer(503, {{"not-executed", "1"}, {"fault", helper}});
    host_.timers.advance(claim_settle_time);
    LONGS_EQUAL(2, host_.attempts());
    CHECK_EQUAL(first, upstream_.last().upstream.id);
    decline_until_answered();
    LONGS_EQUAL(502, caller_.status);
}

// Guards against a success without an id that belongs to an earlier request on the connection.
TEST(declined_requests, success_without_an_id_on_a_reused_connection_is_not_forwarded) {
    serve_and_answer("/lookup/1", 200, {{"unnamed", "1"}});
    LONGS_EQUAL(0, caller_.answers);
    LONGS_EQUAL(2, host_.attempts());
    CHECK_FALSE(upstream_.attempts.front()->open);
}

// Guards against a success without an id that an upstream repeats on a new connection.
TEST(declined_requests, success_without_an_id_is_not_forwarded_to_the_caller_of_an_order) {
    serve_and_answer("/order/1", 200, {{"unnamed", "1"}});
    LONGS_EQUAL(1, host_.attempts());
    LONGS_EQUAL(502, caller_.status);
    CHECK_TRUE(caller_.own);
    serve_and_answer("/order/1", 500, {{"unnamed", "1"}});
    upstream_.end();
    LONGS_EQUAL(500, caller_.status);
    CHECK_FALSE(caller_.own);
}

// Guards against a status that promises "not run" to the caller of an order that may have run.
TEST(declined_requests, status_of_a_refusal_is_forwarded_only_if_the_upstream_did_not_run_it) {
    for (const int status : {408, 429, 503}) {
        const std::size_t before = host_.attempts();
        serve_and_answer("/order/1", status, {});
        LONGS_EQUAL(502, caller_.status);
        LONGS_EQUAL(before + 1, host_.attempts());
        CHECK_FALSE(upstream_.last().open);
    }
}

// Guards against notices that a repeated answer contains: the upstream would get no more requests.
TEST(declined_requests, notices_in_an_answer_of_another_request_are_ignored) {
    const header_list stale = {{"not-executed", "1"},
                               {"pause-ms", "60000"},
                               {"leaving", "1"},
                               {"fault", "10.0.0.9:51"},
                               {"id", "another-one"}};
    serve_and_answer("/order/1", 503, stale);
    LONGS_EQUAL(502, caller_.status);
    const std::string upstream = upstream_.last().upstream.id;
    const upstream_entry& entry = *host_.upstreams.find(upstream);
    CHECK_TRUE(host_.notices.accepts(entry, host_.timers.now()));
    LONGS_EQUAL(0, host_.log.count("upstream_leaves"));
}
