#include "core/scheduling/fair_rank_policy.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "core/scheduling/admission_check.hpp"

using namespace fuchsiaquay;
using std::chrono::milliseconds;

namespace {

class open_admission final : public admission_check {
public:
    bool fits(const queued_request& /*queued*/, const admission_terms& /*terms*/) const override {
        return true;
    }
};

}  // namespace

TEST_GROUP(fair_rank_policy) {
    static constexpr double speed = 10'000.0;
    fair_rank_policy policy_{speed};
    open_admission admission_;
    instant now_{};
    int requests_ = 0;

    void push(const std::string& customer, int level, std::int64_t tokens, double weight = 1.0,
              double floor = 0.2) {
        queued_request queued;
        queued.request.request = request_id(std::to_string(++requests_));
        queued.request.customer = customer_id(customer);
        queued.request.level = level;
        queued.request.weight = weight;
        queued.request.floor_share = floor;
        queued.prefill_tokens = tokens;
        queued.cost = static_cast<double>(tokens);
        policy_.push(queued, now_);
    }

    // Serves requests at the upstream's speed while `refill` keeps the queue full. Returns the
    // tokens served for each key.
    template <typename key_of, typename refill>
    std::map<std::string, double> serve(int rounds, key_of key, refill more) {
        std::map<std::string, double> served;
        for (int i = 0; i < rounds; ++i) {
            more();
            const auto pick = policy_.pop(admission_, now_);
            if (!pick) {
                now_ += milliseconds(10);
                continue;
            }
            served[key(pick->queued)] += pick->queued.cost;
            now_ += from_seconds(pick->queued.cost / speed);
            policy_.record_served_work(pick->queued.request.level, false, pick->queued.cost, now_);
        }
        return served;
    }
};

TEST(fair_rank_policy, urgent_level_goes_first) {
    push("a", 2, 1000);
    push("a", 0, 1000);
    LONGS_EQUAL(0, policy_.pop(admission_, now_)->queued.request.level);
}

TEST(fair_rank_policy, urgent_flood_leaves_the_other_levels_their_floors) {
    const auto served = serve(
        2000, [](const queued_request& each) { return std::to_string(each.request.level); },
        [this] {
            push("a", 0, 1000, 1.0, 0.3);
            push("b", 1, 1000, 1.0, 0.3);
            push("c", 2, 1000, 1.0, 0.1);
        });
    const double total = served.at("0") + served.at("1") + served.at("2");
    CHECK_TRUE(served.at("1") / total >= 0.97 * 0.3);
    CHECK_TRUE(served.at("2") / total >= 0.97 * 0.1);
    CHECK_TRUE(served.at("0") / total > 0.5);
}

TEST(fair_rank_policy, flooding_customer_gets_its_weight_over_tokens) {
    const auto served = serve(
        2000, [](const queued_request& each) { return each.request.customer.value(); },
        [this] {
            push("small", 0, 500, 1.0);
            push("small", 0, 500, 1.0);
            for (int i = 0; i < 3; ++i) {
                push("large", 0, 2000, 3.0);
            }
        });
    DOUBLES_EQUAL(3.0, served.at("large") / served.at("small"), 0.15);
}

TEST(fair_rank_policy, returning_customer_is_not_behind_the_backlog) {
    for (int i = 0; i < 50; ++i) {
        push("large", 0, 1000);
    }
    policy_.pop(admission_, now_);
    policy_.pop(admission_, now_);
    push("small", 0, 1000);
    int before = 0;
    while (policy_.pop(admission_, now_)->queued.request.customer != customer_id("small")) {
        ++before;
    }
    CHECK_TRUE(before <= 1);
}

TEST(fair_rank_policy, removed_request_gives_its_share_back) {
    push("a", 0, 50'000);
    push("a", 0, 1000);
    push("b", 0, 2000);
    push("b", 0, 2000);
    CHECK_TRUE(policy_.remove(request_id("1")).has_value());
    CHECK_FALSE(policy_.remove(request_id("1")).has_value());
    policy_.pop(admission_, now_);
    policy_.pop(admission_, now_);
    policy_.pop(admission_, now_);
    LONGS_EQUAL(0, policy_.size());
}

TEST(fair_rank_policy, long_prompts_do_not_block_short_ones) {
    queued_request queued;
    queued.request.request = request_id("long");
    queued.is_long = true;
    queued.cost = 100'000.0;
    policy_.push(queued, now_);
    push("a", 2, 1000);
    LONGS_EQUAL(1000, policy_.pop(admission_, now_)->queued.prefill_tokens);
    CHECK_TRUE(policy_.next_long() != nullptr);
}
