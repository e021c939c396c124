#include "core/retry/retry_policy.hpp"

#include <CppUTest/TestHarness.h>

#include <queue>
#include <random>
#include <vector>

#include "core/health/upstream_health.hpp"

using fuchsiaquay::attempt_evidence;
using fuchsiaquay::breaker_settings;
using fuchsiaquay::customer_id;
using fuchsiaquay::duration;
using fuchsiaquay::execution;
using fuchsiaquay::from_seconds;
using fuchsiaquay::instant;
using fuchsiaquay::retry_policy;
using fuchsiaquay::retry_settings;
using fuchsiaquay::upstream_health;
using fuchsiaquay::upstream_id;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int engines = 30;
constexpr int requests = 12'000;
constexpr double requests_per_second = 200.0;
constexpr duration service_time = seconds(1);
constexpr duration failure_time = milliseconds(2);

/// Engines in virtual time behind one node; from `death` on the engines below `dead_engines`
/// refuse, and what they were working on fails.
class engine_run {
public:
    engine_run(int dead_engines, bool with_mechanisms)
        : dead_engines_(dead_engines), with_mechanisms_(with_mechanisms) {}

    void play() {
        for (int request = 0; request < requests; ++request) {
            const instant arrival = instant() + from_seconds(request / requests_per_second);
            events_.push({arrival, request, -1, 0});
        }
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            if (next.engine < 0) {
                send(next);
            } else {
                receive(next);
            }
        }
    }

    double attempts_per_request() const { return static_cast<double>(attempts_) / requests; }
    int lost_in_flight() const { return lost_in_flight_; }
    int answered() const { return answered_; }

private:
    struct event {
        instant at;
        int request = 0;
        /// Engine that the attempt ran on; -1 for an attempt to be sent.
        int engine = -1;
        int attempts = 0;
        bool was_sent_alive = false;

        bool operator<(const event& other) const { return at > other.at; }
    };

    bool dead(int engine, instant now) const { return engine < dead_engines_ && now >= death_; }
    static upstream_id name(int engine) { return upstream_id("e" + std::to_string(engine)); }
    static customer_id customer(int request) {
        return customer_id("c" + std::to_string(request % 10));
    }

    void send(event attempt) {
        if (attempt.attempts == 0) {
            policy_.on_request(customer(attempt.request), attempt.at);
        }
        std::vector<int> candidates;
        for (int engine = 0; engine < engines; ++engine) {
            if (!with_mechanisms_ || health_.allows(name(engine), attempt.at)) {
                candidates.push_back(engine);
            }
        }
        if (candidates.empty()) {
            return;
        }
        attempt.engine = candidates.at(random_() % candidates.size());
        ++attempt.attempts;
        ++attempts_;
        health_.on_sent(name(attempt.engine), attempt.at);
        attempt.was_sent_alive = !dead(attempt.engine, attempt.at);
        attempt.at += attempt.was_sent_alive ? service_time : failure_time;
        if (attempt.was_sent_alive && dead(attempt.engine, attempt.at)) {
            ++lost_in_flight_;
            attempt.at = death_ + failure_time;
        }
        events_.push(attempt);
    }

    void receive(event attempt) {
        if (!dead(attempt.engine, attempt.at)) {
            health_.on_result(name(attempt.engine), attempt_evidence::answered, attempt.at);
            ++answered_;
            return;
        }
        health_.on_result(name(attempt.engine), attempt_evidence::failed, attempt.at);
        attempt.engine = -1;
        if (!with_mechanisms_) {
            events_.push(attempt);
            return;
        }
        const auto delay =
            policy_.next_retry_delay(customer(attempt.request), attempt.attempts, execution::maybe,
                                     true, seconds(10), attempt.at);
        if (delay) {
            attempt.at += *delay;
            events_.push(attempt);
        }
    }

    int dead_engines_;
    bool with_mechanisms_;
    const instant death_ = instant() + seconds(30);
    retry_policy policy_{retry_settings(), 1};
    upstream_health health_{breaker_settings()};
    std::mt19937 random_{7};
    std::priority_queue<event> events_;
    int attempts_ = 0;
    int lost_in_flight_ = 0;
    int answered_ = 0;
};

}  // namespace

TEST_GROUP(retry_policy) {
    retry_policy policy_{retry_settings(), 1};
    const customer_id customer_{"greenline"};

    bool retried(int attempts, execution ran, bool idempotent) {
        return policy_
            .next_retry_delay(customer_, attempts, ran, idempotent, seconds(10), instant())
            .has_value();
    }
};

TEST(retry_policy, call_that_may_have_run_is_retried_only_when_idempotent) {
    CHECK_TRUE(retried(1, execution::no, false));
    CHECK_TRUE(retried(1, execution::maybe, true));
    CHECK_FALSE(retried(1, execution::maybe, false));
    CHECK_FALSE(retried(1, execution::yes, true));
    CHECK_FALSE(retried(4, execution::no, true));
}

TEST(retry_policy, spent_budget_stops_retries_of_that_customer_only) {
    int made = 0;
    while (retried(1, execution::no, true)) {
        ++made;
    }
    LONGS_EQUAL(10, made);
    CHECK_TRUE(
        policy_
            .next_retry_delay(customer_id("other"), 1, execution::no, true, seconds(10), instant())
            .has_value());
}

TEST(retry_policy, delays_grow_within_the_ceiling_and_repeat_with_the_seed) {
    fuchsiaquay::backoff one(retry_settings(), 5);
    fuchsiaquay::backoff two(retry_settings(), 5);
    for (int retry = 1; retry < 20; ++retry) {
        const duration delay = one.delay(retry);
        CHECK_TRUE(delay == two.delay(retry));
        CHECK_TRUE(delay <= one.ceiling(retry));
    }
    CHECK_TRUE(one.ceiling(2) == 2 * one.ceiling(1));
    CHECK_TRUE(one.ceiling(40) == retry_settings().max_delay);
}

// Stated bound: 1.1 attempts a request, and one more for each that a death cut off.
TEST(retry_policy, third_of_engines_dead_keeps_attempts_within_bound) {
    engine_run run(engines / 3, true);
    run.play();
    const double needed = static_cast<double>(run.lost_in_flight()) / requests;
    UT_PRINT(StringFromFormat("third dead: %.4f attempts a request, %.4f needed, %d of %d answered",
                              run.attempts_per_request(), needed, run.answered(), requests)
                 .asCharString());
    CHECK_TRUE(run.attempts_per_request() <= 1.1 + needed);
    CHECK_TRUE(run.answered() >= requests * 99 / 100);
    engine_run unbounded(engines / 3, false);
    unbounded.play();
    UT_PRINT(StringFromFormat("without breaker and budget: %.4f attempts a request",
                              unbounded.attempts_per_request())
                 .asCharString());
    CHECK_TRUE(unbounded.attempts_per_request() > 1.1 + needed);
}

TEST(retry_policy, all_engines_dead_makes_no_storm) {
    engine_run run(engines, true);
    run.play();
    UT_PRINT(StringFromFormat("all dead: %.4f attempts a request", run.attempts_per_request())
                 .asCharString());
    const double needed = static_cast<double>(run.lost_in_flight()) / requests;
    CHECK_TRUE(run.attempts_per_request() <= 1.1 + needed);
}
