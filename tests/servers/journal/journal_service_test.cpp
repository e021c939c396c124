#include "servers/journal/journal_service.hpp"

#include <CppUTest/TestHarness.h>

#include "tests/servers/journal/journal_fleet.hpp"

using fuchsiaquay::begin_result;
using fuchsiaquay::begin_verdict;
using fuchsiaquay::journal_fleet;
using fuchsiaquay::make_idempotency_key;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(journal_service) {
    journal_fleet fleet_;

    void check_verdict(begin_verdict expected, const begin_result& result) {
        LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(result.verdict));
    }
};

TEST(journal_service, finished_key_at_other_node_replays_the_answer) {
    const std::string key = fleet_.new_key();
    check_verdict(begin_verdict::started, fleet_.call_and_wait("a", key));
    fleet_.timers_.advance(seconds(1));
    const begin_result second = fleet_.call_and_wait("b", key);
    check_verdict(begin_verdict::finished, second);
    STRCMP_EQUAL("1", second.outcome->body.c_str());
    LONGS_EQUAL(200, second.outcome->status);
    LONGS_EQUAL(1, fleet_.executions_[key]);
}

TEST(journal_service, key_handled_by_live_node_is_in_progress) {
    const std::string key = fleet_.new_key();
    std::vector<begin_result> first;
    fleet_.begin("a", key, first);
    fleet_.timers_.advance(milliseconds(50));
    check_verdict(begin_verdict::started, first.at(0));
    check_verdict(begin_verdict::in_progress, fleet_.call_and_wait("a", key));
    check_verdict(begin_verdict::in_progress, fleet_.call_and_wait("b", key));
}

TEST(journal_service, started_key_of_crashed_node_may_have_run) {
    const std::string key = fleet_.new_key();
    std::vector<begin_result> first;
    fleet_.call("a", key, first);
    fleet_.timers_.advance(milliseconds(12));
    LONGS_EQUAL(1, fleet_.executions_[key]);
    fleet_.at("a").start();
    check_verdict(begin_verdict::may_have_run, fleet_.call_and_wait("b", key));
    check_verdict(begin_verdict::may_have_run, fleet_.call_and_wait("a", key));
    fleet_.dead_["a"] = true;
    check_verdict(begin_verdict::may_have_run, fleet_.call_and_wait("c", key));
    LONGS_EQUAL(1, fleet_.executions_[key]);
}

TEST(journal_service, lost_answer_to_write_is_resolved_by_reading_back) {
    const std::string key = fleet_.new_key();
    fleet_.at("a").store_.lose_answers_ = 1;
    check_verdict(begin_verdict::started, fleet_.call_and_wait("a", key));
    LONGS_EQUAL(1, fleet_.at("a").journal_->counters().writes_unanswered);
    fleet_.timers_.advance(seconds(1));
    check_verdict(begin_verdict::finished, fleet_.call_and_wait("b", key));
    LONGS_EQUAL(1, fleet_.executions_[key]);
}

TEST(journal_service, call_is_not_run_during_store_outage_and_runs_after_it) {
    const std::string key = fleet_.new_key();
    fleet_.at("a").store_.out_ = true;
    check_verdict(begin_verdict::not_run, fleet_.call_and_wait("a", key));
    std::vector<begin_result> second;
    fleet_.call("a", fleet_.new_key(), second);
    check_verdict(begin_verdict::not_run, second.at(0));
    STRCMP_EQUAL("store_unavailable", second.at(0).reason.c_str());
    CHECK_TRUE(second.at(0).retry_after > fuchsiaquay::duration::zero());
    LONGS_EQUAL(0, fleet_.executions_[key]);
    fleet_.at("a").store_.out_ = false;
    fleet_.timers_.advance(seconds(5));
    check_verdict(begin_verdict::started, fleet_.call_and_wait("a", key));
    LONGS_EQUAL(1, fleet_.executions_[key]);
}

TEST(journal_service, key_without_valid_time_of_issue_is_refused) {
    check_verdict(begin_verdict::malformed_key, fleet_.call_and_wait("a", "order-17"));
    const std::int64_t now_ms = fleet_.at("a").clock_.unix_ms();
    const auto key_of_age = [now_ms](hours age) {
        return make_idempotency_key(now_ms - age.count() * 3'600'000, 1, 1).to_string();
    };
    check_verdict(begin_verdict::expired_key, fleet_.call_and_wait("a", key_of_age(hours(25))));
    check_verdict(begin_verdict::future_key, fleet_.call_and_wait("a", key_of_age(hours(-1))));
    check_verdict(begin_verdict::started, fleet_.call_and_wait("a", key_of_age(hours(23))));
}

TEST(journal_service, reused_key_with_other_request_is_refused) {
    const std::string key = fleet_.new_key();
    fleet_.call_and_wait("a", key);
    fuchsiaquay::begin_request other = fleet_.request(key);
    other.fingerprint = 8;
    for (const char* name : {"a", "b"}) {
        std::vector<begin_result> results;
        fleet_.at(name).journal_->begin(
            other, [&results](const auto& result) { results.push_back(result); });
        fleet_.timers_.advance(milliseconds(100));
        check_verdict(begin_verdict::reused_key, results.at(0));
    }
}

TEST(journal_service, abandoned_token_releases_the_key_at_every_node) {
    const std::string key = fleet_.new_key();
    std::vector<begin_result> first;
    fleet_.begin("a", key, first);
    fleet_.timers_.advance(milliseconds(50));
    fleet_.at("a").journal_->abandon(first.at(0).token);
    check_verdict(begin_verdict::started, fleet_.call_and_wait("b", key));
    LONGS_EQUAL(1, fleet_.executions_[key]);
}

TEST(journal_service, unanswered_call_is_recorded_as_uncertain) {
    const std::string key = fleet_.new_key();
    fleet_.unanswered_ = true;
    check_verdict(begin_verdict::started, fleet_.call_and_wait("a", key));
    check_verdict(begin_verdict::may_have_run, fleet_.call_and_wait("a", key));
    fleet_.timers_.advance(seconds(1));
    check_verdict(begin_verdict::may_have_run, fleet_.call_and_wait("b", key));
}

TEST(journal_service, full_shard_refuses_new_starts_and_accepts_outcomes) {
    fleet_.settings_.max_shard_bytes = 1'400;
    fleet_.at("a").start();
    fleet_.at("b").start();
    std::vector<std::string> keys;
    begin_result result;
    for (int call = 0; call < 10; ++call) {
        keys.push_back(fleet_.new_key());
        result = fleet_.call_and_wait("a", keys.back());
        fleet_.timers_.advance(seconds(1));
    }
    check_verdict(begin_verdict::not_run, result);
    STRCMP_EQUAL("journal_shard_full", result.reason.c_str());
    CHECK_FALSE(result.key_unused);
    result = fleet_.call_and_wait("b", keys.back());
    STRCMP_EQUAL("journal_shard_full", result.reason.c_str());
    CHECK_TRUE(result.key_unused);
    check_verdict(begin_verdict::finished, fleet_.call_and_wait("b", keys.front()));
    const std::size_t stored = fleet_.store_.get("fuchsiaquay/journal/0").value.size();
    CHECK_TRUE(stored <= fleet_.settings_.max_shard_bytes);
}

TEST(journal_service, unreadable_shard_is_left_unchanged_and_runs_no_call) {
    fleet_.store_.apply(
        fuchsiaquay::compare_and_swap("fuchsiaquay/journal/0", 0, "not a shard value"));
    check_verdict(begin_verdict::not_run, fleet_.call_and_wait("a", fleet_.new_key()));
    STRCMP_EQUAL("not a shard value", fleet_.store_.get("fuchsiaquay/journal/0").value.c_str());
}

TEST(journal_service, drain_waits_until_outcomes_are_durable) {
    const std::string key = fleet_.new_key();
    fleet_.call_and_wait("a", key);
    bool drained = false;
    fleet_.at("a").journal_->drain([&drained] { drained = true; });
    std::vector<begin_result> refused;
    fleet_.call("a", fleet_.new_key(), refused);
    check_verdict(begin_verdict::not_run, refused.at(0));
    CHECK_FALSE(drained);
    fleet_.timers_.advance(milliseconds(100));
    CHECK_TRUE(drained);
    fleet_.at("a").crash();
    check_verdict(begin_verdict::finished, fleet_.call_and_wait("b", key));
}
