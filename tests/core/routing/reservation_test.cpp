#include "core/routing/reservation.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

using namespace fuchsiaquay;
using std::chrono::milliseconds;

TEST_GROUP(reservation) {
    reservation_settings settings_;
    instant now_{};
    std::unique_ptr<reservation> reservation_;

    void setup() override {
        reserve_request request;
        request.request = request_id("r");
        request.prompt_tokens = 1000;
        request.time_left = std::chrono::seconds(30);
        const std::vector<scored_candidate> candidates{{upstream_id("a"), 0.0, 0, ""},
                                                       {upstream_id("b"), 1.0, 0, ""},
                                                       {upstream_id("c"), 2.0, 0, ""},
                                                       {upstream_id("d"), 3.0, 0, ""}};
        reservation_ = std::make_unique<reservation>(request, candidates, settings_, now_);
    }
    void teardown() override {
        reservation_.reset();
    }

    routing_actions reply(const std::string& upstream, reserve_outcome outcome,
                          duration estimate = duration::zero()) {
        reserve_reply message;
        message.request = request_id("r");
        message.upstream = upstream_id(upstream);
        message.outcome = outcome;
        message.start_estimate = estimate;
        message.retry_after = estimate;
        if (outcome == reserve_outcome::granted) {
            message.grant = grant_id("g-" + upstream);
        }
        return reservation_->on_reply(message, now_);
    }
};

TEST(reservation, first_grant_is_used_and_late_grant_is_released) {
    reservation_->start(now_);
    CHECK_TRUE(reply("a", reserve_outcome::queued, milliseconds(500)).reserves.size() == 1);
    const routing_actions granted = reply("b", reserve_outcome::granted);
    CHECK_TRUE(granted.outcome && granted.outcome->granted);
    LONGS_EQUAL(1, granted.releases.size());
    const routing_actions late = reply("a", reserve_outcome::granted);
    CHECK_FALSE(late.outcome.has_value());
    STRCMP_EQUAL("g-a", late.releases.at(0).grant.value().c_str());
}

TEST(reservation, best_queue_position_is_kept_and_others_are_released) {
    reservation_->start(now_);
    reply("a", reserve_outcome::queued, milliseconds(900));
    reply("b", reserve_outcome::queued, milliseconds(300));
    const routing_actions actions = reply("c", reserve_outcome::queued, milliseconds(600));
    CHECK_TRUE(actions.reserves.empty());
    LONGS_EQUAL(2, actions.releases.size());
    CHECK_TRUE(actions.releases[0].upstream == upstream_id("a"));
    CHECK_TRUE(reply("b", reserve_outcome::granted).outcome->granted);
}

TEST(reservation, acceptable_wait_sends_no_further_requests) {
    reservation_->start(now_);
    CHECK_TRUE(reply("a", reserve_outcome::queued, milliseconds(20)).reserves.empty());
}

TEST(reservation, refusal_by_all_upstreams_returns_shortest_retry_time) {
    reservation_->start(now_);
    reply("a", reserve_outcome::refused, milliseconds(900));
    reply("b", reserve_outcome::refused, milliseconds(700));
    const routing_actions actions = reply("c", reserve_outcome::refused, milliseconds(800));
    CHECK_TRUE(actions.outcome && !actions.outcome->granted);
    CHECK_TRUE(actions.outcome->retry_after == milliseconds(700));
}

TEST(reservation, unresponsive_owner_is_skipped_and_released) {
    reservation_->start(now_);
    now_ = reservation_->next_wakeup();
    const routing_actions actions = reservation_->tick(now_);
    LONGS_EQUAL(1, actions.releases.size());
    CHECK_TRUE(actions.reserves.at(0).upstream == upstream_id("b"));
}

TEST(reservation, cancelled_reservation_releases_all_requests) {
    reservation_->start(now_);
    reply("a", reserve_outcome::queued, milliseconds(900));
    LONGS_EQUAL(2, reservation_->cancel(now_).releases.size());
    LONGS_EQUAL(1, reply("b", reserve_outcome::granted).releases.size());
}
