#include "core/scheduling/upstream_queue.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "core/scheduling/engine_report.hpp"
#include "core/scheduling/fair_rank_policy.hpp"

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(upstream_queue) {
    upstream_settings settings_;
    instant now_{};
    std::unique_ptr<upstream_queue> queue_;
    int requests_ = 0;

    void setup() override {
        settings_.upstream = upstream_id("engine-1");
        settings_.owner = host_id("host-1");
        settings_.incarnation = 7;
        start(false);
    }
    void teardown() override {
        queue_.reset();
    }

    void start(bool rebuilding) {
        queue_ = std::make_unique<upstream_queue>(
            settings_, std::make_unique<fair_rank_policy>(settings_.tokens_per_second), rebuilding,
            now_);
    }

    reserve_request make_request(std::int64_t prompt, int level = 0,
                                 const std::string& customer = "c") {
        reserve_request request;
        request.request = request_id("r" + std::to_string(++requests_));
        request.upstream = settings_.upstream;
        request.entry_host = host_id("entry");
        request.customer = customer_id(customer);
        request.level = level;
        request.floor_share = 0.2;
        request.prompt_tokens = prompt;
        request.expected_output_tokens = 100;
        request.memory_tokens = prompt + 100;
        request.time_left = seconds(30);
        return request;
    }

    grant_renewal make_renewal(const std::string& grant, std::int64_t memory) const {
        grant_renewal renewal;
        renewal.grant = grant_id(grant);
        renewal.request = request_id("of-" + grant);
        renewal.upstream = settings_.upstream;
        renewal.entry_host = host_id("entry");
        renewal.customer = customer_id("c");
        renewal.memory_tokens = memory;
        return renewal;
    }

    engine_report make_report(const std::vector<std::string>& grants) const {
        engine_report report;
        report.memory_tokens = settings_.memory_tokens;
        report.asked_at = now_;
        for (const std::string& grant : grants) {
            report.streams.push_back(engine_stream{grant_id(grant), 1000, 0, stream_phase::decode});
        }
        return report;
    }

    static reserve_reply only(const scheduling_actions& actions) {
        LONGS_EQUAL(1, actions.replies.size());
        return actions.replies.front().reply;
    }
};

TEST(upstream_queue, idle_upstream_grants_at_once) {
    const reserve_reply reply = only(queue_->reserve(make_request(1000), now_));
    CHECK_TRUE(reply.outcome == reserve_outcome::granted);
    STRCMP_EQUAL("host-1-7-engine-1-1", reply.grant.value().c_str());
    LONGS_EQUAL(settings_.memory_tokens - 1100, reply.free_memory_tokens);
}

TEST(upstream_queue, repeated_reservation_gives_the_same_grant) {
    const reserve_request request = make_request(1000);
    const reserve_reply first = only(queue_->reserve(request, now_));
    const reserve_reply second = only(queue_->reserve(request, now_));
    CHECK_TRUE(second.grant == first.grant);
    LONGS_EQUAL(1, queue_->granted());
}

TEST(upstream_queue, prompt_beyond_memory_refused_at_once) {
    const reserve_reply reply = only(queue_->reserve(make_request(500'000), now_));
    CHECK_TRUE(reply.outcome == reserve_outcome::refused);
    STRCMP_EQUAL("too_large", reply.reason.c_str());
}

TEST(upstream_queue, deadline_out_of_reach_refused_on_arrival_with_retry_time) {
    reserve_request request = make_request(20'000);
    request.time_left = milliseconds(500);
    const reserve_reply reply = only(queue_->reserve(request, now_));
    CHECK_TRUE(reply.outcome == reserve_outcome::refused);
    CHECK_TRUE(reply.retry_after > duration::zero());
}

TEST(upstream_queue, queued_request_given_up_when_its_latest_start_passes) {
    settings_.refuse_early = false;
    start(false);
    queue_->reserve(make_request(30'000), now_);
    reserve_request request = make_request(30'000);
    request.time_left = milliseconds(5500);
    CHECK_TRUE(only(queue_->reserve(request, now_)).outcome == reserve_outcome::queued);
    // The engine stays behind the prediction, so that the dispatch window stays full.
    for (int i = 0; i < 12; ++i) {
        now_ += milliseconds(100);
        engine_report report = make_report({"host-1-7-engine-1-1"});
        report.streams[0].phase = stream_phase::prefill;
        queue_->observe_engine(report, now_);
    }
    now_ += milliseconds(300);
    const scheduling_actions actions = queue_->tick(now_);
    STRCMP_EQUAL("given_up", only(actions).reason.c_str());
    LONGS_EQUAL(0, queue_->queued());
}

TEST(upstream_queue, short_prompt_granted_beside_long_prefill) {
    reserve_request request = make_request(200'000);
    request.time_left = seconds(300);
    CHECK_TRUE(only(queue_->reserve(request, now_)).outcome == reserve_outcome::granted);
    const reserve_reply reply = only(queue_->reserve(make_request(1000), now_));
    CHECK_TRUE(reply.outcome == reserve_outcome::granted);
    CHECK_TRUE(reply.start_estimate < milliseconds(1));
}

TEST(upstream_queue, long_prompts_leave_memory_to_short_ones) {
    for (int i = 0; i < 4; ++i) {
        reserve_request request = make_request(150'000);
        request.time_left = seconds(300);
        queue_->reserve(request, now_);
        now_ += seconds(9);
        engine_report report = make_report({});
        queue_->tick(now_);
    }
    CHECK_TRUE(queue_->free_memory_tokens() >= settings_.short_memory_tokens);
}

TEST(upstream_queue, released_and_expired_grants_free_their_memory) {
    const reserve_reply first = only(queue_->reserve(make_request(1000), now_));
    only(queue_->reserve(make_request(1000), now_));
    grant_release release;
    release.grant = first.grant;
    queue_->release(release, now_);
    queue_->release(release, now_);
    now_ += settings_.grant_lifetime;
    const scheduling_actions actions = queue_->tick(now_);
    LONGS_EQUAL(1, actions.cancels.size());
    LONGS_EQUAL(settings_.memory_tokens, queue_->free_memory_tokens());
}

TEST(upstream_queue, stream_that_left_the_engine_frees_its_grant) {
    const std::string grant = only(queue_->reserve(make_request(1000), now_)).grant.value();
    now_ += seconds(1);
    queue_->observe_engine(make_report({grant}), now_);
    now_ += seconds(1);
    queue_->observe_engine(make_report({}), now_);
    LONGS_EQUAL(settings_.memory_tokens, queue_->free_memory_tokens());
    // A late renewal does not register the ended grant again.
    queue_->renew(make_renewal(grant, 1100), now_);
    LONGS_EQUAL(settings_.memory_tokens, queue_->free_memory_tokens());
}

TEST(upstream_queue, renewed_grant_may_start_late) {
    const std::string grant = only(queue_->reserve(make_request(1000), now_)).grant.value();
    for (int i = 0; i < 20; ++i) {
        now_ += seconds(3);
        queue_->renew(make_renewal(grant, 1100), now_);
        queue_->observe_engine(make_report({}), now_);
    }
    LONGS_EQUAL(1, queue_->granted());
}

TEST(upstream_queue, orphan_stream_cancelled_after_its_grace) {
    queue_->observe_engine(make_report({"lost"}), now_);
    LONGS_EQUAL(settings_.memory_tokens - 1000, queue_->free_memory_tokens());
    now_ += settings_.orphan_grace;
    const scheduling_actions actions = queue_->observe_engine(make_report({"lost"}), now_);
    LONGS_EQUAL(1, actions.cancels.size());
    queue_->observe_engine(make_report({}), now_);
    LONGS_EQUAL(settings_.memory_tokens, queue_->free_memory_tokens());
}

TEST(upstream_queue, new_owner_grants_little_until_rebuilt) {
    start(true);
    int granted = 0;
    for (int i = 0; i < 40; ++i) {
        const auto actions = queue_->reserve(make_request(1000), now_);
        granted += actions.replies.back().reply.outcome == reserve_outcome::granted ? 1 : 0;
        now_ += milliseconds(70);
    }
    CHECK_TRUE(granted * 1100 <=
               settings_.rebuild_memory_share * static_cast<double>(settings_.memory_tokens));
    queue_->renew(make_renewal("old-1", 300'000), now_);
    queue_->observe_engine(make_report({"old-1", "old-2"}), now_);
    CHECK_TRUE(queue_->rebuilding());
    now_ += settings_.rebuild_time;
    queue_->tick(now_);
    CHECK_FALSE(queue_->rebuilding());
    CHECK_TRUE(queue_->free_memory_tokens() <= settings_.memory_tokens - 300'000 - 1000);
}
