#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <memory>
#include <string>

#include "core/scheduling/engine_account_key.hpp"
#include "tests/servers/relay/relay_fixture.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// One account floods all engines through another host; two routes differ in rank.
TEST_GROUP(fair_shares) {
    relay_fixture host_;
    std::uint64_t key_ = 1'000;
    recording_sink waiting_sink_;
    std::unique_ptr<active_request> waiting_;

    void let_accounts_compete() {
        host_.configuration_codec.accounts_compete = true;
        host_.store.put("config", "2");
        host_.timers.advance(seconds(3));
    }
    void announce(const std::string& engine, const char* account, duration engine_time) {
        engine_work work;
        work.key = ++key_;
        work.engine = engine;
        work.phase = work_phase::decode;
        work.target_gap = milliseconds(200);
        work.dispatched_at = host_.timers.now();
        work.account = engine_account_key("llm", account);
        work.engine_time = engine_time;
        host_.work_table.apply_remote_work("other", work);
    }
    /// Fills the slots of all engines, most of them with requests of `lee`.
    void flood() {
        for (const upstream_entry& entry : host_.upstreams.ready("llm")) {
            for (int slot = 0; slot < 16; ++slot) {
                announce(entry.id, slot == 0 ? "kim" : "lee", seconds(1));
            }
        }
    }
    /// Fills the engines and lets a request of another account wait until the shortage lasts.
    void flood_for_a_while() {
        flood();
        waiting_ = host_.queue.serve(request_of("key"), waiting_sink_);
        host_.timers.advance(milliseconds(200));
    }
    caller_request request_of(const char* key) const {
        caller_request result = host_.request("/chat/x");
        result.api_key = key;
        return result;
    }
};

TEST(fair_shares, flooding_account_is_refused_at_once_with_the_time_of_its_share) {
    let_accounts_compete();
    flood_for_a_while();
    host_.serve(request_of("other key"));
    LONGS_EQUAL(503, host_.sink.status);
    LONGS_EQUAL(0, host_.attempts());
    CHECK_TRUE(host_.sink.retry_after_ms >= 600);
    CHECK_TRUE(host_.sink.retry_after_ms <= 10'000);
    LONGS_EQUAL(1, host_.queue.held_by_share());
}

TEST(fair_shares, other_account_waits_for_an_engine) {
    let_accounts_compete();
    flood();
    host_.serve(request_of("key"));
    LONGS_EQUAL(0, host_.sink.answers);
    LONGS_EQUAL(1, host_.queue.waiting());
    host_.work_table.remove_host("other");
    host_.timers.advance(milliseconds(60));
    LONGS_EQUAL(1, host_.attempts());
}

TEST(fair_shares, repeats_of_the_flooding_account_are_refused_until_its_share_is_free) {
    let_accounts_compete();
    flood_for_a_while();
    for (int repeat = 0; repeat < 5; ++repeat) {
        host_.sink.status = 0;
        host_.serve(request_of("other key"));
        LONGS_EQUAL(503, host_.sink.status);
    }
    LONGS_EQUAL(0, host_.attempts());
}

TEST(fair_shares, account_over_its_share_is_served_while_engines_have_room) {
    let_accounts_compete();
    flood();
    host_.work_table.remove_host("other");
    host_.timers.advance(milliseconds(30));
    host_.serve(request_of("other key"));
    LONGS_EQUAL(1, host_.attempts());
}

TEST(fair_shares, host_that_does_not_know_all_work_limits_no_account) {
    let_accounts_compete();
    flood_for_a_while();
    host_.knows_all_work = false;
    host_.serve(request_of("other key"));
    LONGS_EQUAL(0, host_.sink.answers);
}

TEST(fair_shares, work_of_competing_accounts_is_announced_with_account_and_rank) {
    let_accounts_compete();
    caller_request request = host_.request("/later/x");
    host_.serve(request);
    const engine_work work = host_.work_table.own_work_items().front();
    CHECK_TRUE(work.account == engine_account_key("llm", "kim"));
    LONGS_EQUAL(1, work.rank);
    CHECK_TRUE(work.engine_time > work.prefill_time);
}

TEST(fair_shares, one_account_or_one_rank_is_served_as_without_shares) {
    flood();
    host_.serve(host_.request("/chat/x"));
    LONGS_EQUAL(0, host_.sink.answers);
    LONGS_EQUAL(1, host_.queue.waiting());
    host_.work_table.remove_host("other");
    host_.timers.advance(milliseconds(60));
    const engine_work work = host_.work_table.own_work_items().front();
    CHECK_TRUE(work.account == 0);
    LONGS_EQUAL(0, work.rank);
    CHECK_TRUE(work.engine_time == duration::zero());
}

// Guards against an account whose requests, because they came first, take each place that becomes
// free.
TEST(fair_shares, account_that_used_less_gets_the_next_free_place) {
    let_accounts_compete();
    for (int index = 4; index <= 10; ++index) {
        host_.add_engine("llm-" + std::to_string(index));
    }
    for (const upstream_entry& entry : host_.upstreams.ready("llm")) {
        for (int slot = 0; slot < 16; ++slot) {
            announce(entry.id, slot < 7 ? "kim" : "lee", seconds(1));
        }
    }
    const std::uint64_t last = key_;
    caller_request first = request_of("other key");
    first.id = "lee's";
    recording_sink first_sink;
    const auto first_active = host_.queue.serve(first, first_sink);
    host_.timers.advance(milliseconds(200));
    host_.serve(request_of("key"));
    LONGS_EQUAL(2, host_.queue.waiting());
    engine_work ended;
    ended.key = last;
    ended.engine = host_.upstreams.ready("llm").back().id;
    ended.phase = work_phase::ended;
    host_.work_table.apply_remote_work("other", ended);
    host_.timers.advance(milliseconds(3));
    LONGS_EQUAL(1, host_.attempts());
    STRCMP_EQUAL("r1", host_.connector.last().head.substr(0, 2).c_str());
}

TEST(fair_shares, request_without_any_engine_keeps_that_reason) {
    let_accounts_compete();
    flood();
    for (const char* engine : {"u/llm-1", "u/llm-2", "u/llm-3"}) {
        host_.upstreams.on_changes({{{engine, "", 3}, true}}, 3);
    }
    host_.serve(request_of("other key"));
    LONGS_EQUAL(503, host_.sink.status);
    LONGS_EQUAL(0, host_.queue.held_by_share());
}
