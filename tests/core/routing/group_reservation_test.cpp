#include "core/routing/group_reservation.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

#include "core/routing/group_planner.hpp"

using namespace fuchsiaquay;

TEST_GROUP(group_reservation) {
    reservation_settings settings_;
    instant now_{};
    std::unique_ptr<group_reservation> group_;
    routing_request routed_;

    std::size_t attempt_ = 100;  // beyond the quick attempts

    void setup() override {
        start();
    }

    void start() {
        routed_.prompt_tokens = 900'000;
        routed_.memory_tokens = 901'000;
        const std::vector<scored_candidate> candidates{{upstream_id("d"), 0.0, 0, ""},
                                                       {upstream_id("b"), 1.0, 0, ""},
                                                       {upstream_id("c"), 2.0, 0, ""},
                                                       {upstream_id("a"), 3.0, 0, ""}};
        const group_planner planner(320'000, 16'000);
        CHECK_TRUE(planner.needs_group(routed_));
        reserve_request request;
        request.request = request_id("r");
        request.time_left = std::chrono::seconds(300);
        group_ = std::make_unique<group_reservation>(request, planner.plan(routed_, candidates),
                                                     settings_, attempt_, now_);
    }
    void teardown() override {
        group_.reset();
    }

    routing_actions reply(int part, reserve_outcome outcome) {
        reserve_reply message;
        message.request = request_id("r/" + std::to_string(attempt_) + "." + std::to_string(part));
        message.outcome = outcome;
        message.start_estimate = std::chrono::seconds(3);
        if (outcome == reserve_outcome::granted) {
            message.grant = grant_id("g" + std::to_string(part));
        }
        return group_->on_reply(message, now_);
    }
};

TEST(group_reservation, parts_cover_the_prompt_in_order_of_upstream_ids) {
    std::int64_t tokens = 0;
    std::int64_t memory = 0;
    upstream_id last;
    for (const group_part& part : group_->parts()) {
        CHECK_TRUE(last < part.upstream);
        last = part.upstream;
        tokens += part.prompt_tokens;
        memory += part.memory_tokens;
        CHECK_TRUE(part.memory_tokens <= 320'000);
    }
    LONGS_EQUAL(routed_.prompt_tokens, tokens);
    LONGS_EQUAL(routed_.memory_tokens, memory);
}

TEST(group_reservation, outcome_is_granted_when_all_parts_are_granted) {
    group_->start(now_);
    for (int part = 0; part < 3; ++part) {
        CHECK_FALSE(reply(part, reserve_outcome::granted).outcome.has_value());
    }
    const routing_actions actions = reply(3, reserve_outcome::granted);
    CHECK_TRUE(actions.outcome->granted);
    LONGS_EQUAL(4, actions.outcome->grants.size());
}

TEST(group_reservation, refused_part_releases_all_grants) {
    group_->start(now_);
    reply(0, reserve_outcome::granted);
    const routing_actions actions = reply(1, reserve_outcome::refused);
    CHECK_FALSE(actions.outcome->granted);
    STRCMP_EQUAL("g0", actions.releases.at(0).grant.value().c_str());
}

TEST(group_reservation, reservation_ends_after_maximum_wait_and_late_grant_is_released) {
    group_->start(now_);
    reply(0, reserve_outcome::granted);
    reply(1, reserve_outcome::queued);
    now_ = instant{} + settings_.max_group_wait - duration(1);
    CHECK_TRUE(group_->tick(now_).releases.empty());
    now_ += duration(1);
    CHECK_TRUE(group_->next_wakeup() <= now_ + settings_.group_renewal_interval);
    LONGS_EQUAL(2, group_->tick(now_).releases.size());
    const routing_actions late = reply(1, reserve_outcome::granted);
    STRCMP_EQUAL("g1", late.releases.at(0).grant.value().c_str());
}

TEST(group_reservation, quick_attempt_ends_at_a_busy_part_and_may_be_retried) {
    attempt_ = 0;
    start();
    group_->start(now_);
    reply(0, reserve_outcome::granted);
    const routing_actions actions = reply(1, reserve_outcome::queued);
    STRCMP_EQUAL("group_busy", actions.outcome->reason.c_str());
    LONGS_EQUAL(2, actions.releases.size());
    CHECK_TRUE(group_->may_retry());
}

TEST(group_reservation, granted_parts_are_renewed_while_others_are_pending) {
    group_->start(now_);
    reply(0, reserve_outcome::granted);
    reply(1, reserve_outcome::queued);
    for (int i = 0; i < 5; ++i) {
        now_ = group_->next_wakeup();
        const routing_actions actions = group_->tick(now_);
        LONGS_EQUAL(1, actions.renewals.size());
        STRCMP_EQUAL("g0", actions.renewals[0].grant.value().c_str());
        CHECK_FALSE(actions.outcome.has_value());
    }
}
