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

/// Simulates engines behind one node in virtual time. At the time `failure_at_`, the first
/// `failing_engines` engines fail: their running requests are lost and they refuse new ones.
class engine_simulation {
public:
    engine_simulation(int failing_engines, bool limits_retries)
        : failing_engines_(failing_engines), limits_retries_(limits_retries) {}

    void run() {
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
    int interrupted() const { return interrupted_; }
    int answered() const { return answered_; }

private:
    struct event {
        instant at;
        int request = 0;
        /// Engine that executes the attempt; -1 if the attempt has not been sent yet.
        int engine = -1;
        int attempts = 0;
        bool sent_to_live_engine = false;

        bool operator<(const event& other) const { return at > other.at; }
    };

    bool failed(int engine, instant now) const {
        return engine < failing_engines_ && now >= failure_at_;
    }
    static upstream_id engine_id(int engine) { return upstream_id("e" + std::to_string(engine)); }
    static customer_id customer(int request) {
        return customer_id("c" + std::to_string(request % 10));
    }

    void send(event attempt) {
        if (attempt.attempts == 0) {
            policy_.on_request(customer(attempt.request), attempt.at);
        }
        std::vector<int> candidates;
        for (int engine = 0; engine < engines; ++engine) {
            if (!limits_retries_ || health_.allows(engine_id(engine), attempt.at)) {
                candidates.push_back(engine);
            }
        }
        if (candidates.empty()) {
            return;
        }
        attempt.engine = candidates.at(random_() % candidates.size());
        ++attempt.attempts;
        ++attempts_;
        health_.on_sent(engine_id(attempt.engine), attempt.at);
        attempt.sent_to_live_engine = !failed(attempt.engine, attempt.at);
        attempt.at += attempt.sent_to_live_engine ? service_time : failure_time;
        if (attempt.sent_to_live_engine && failed(attempt.engine, attempt.at)) {
            ++interrupted_;
            attempt.at = failure_at_ + failure_time;
        }
        events_.push(attempt);
    }

    void receive(event attempt) {
        if (!failed(attempt.engine, attempt.at)) {
            health_.on_result(engine_id(attempt.engine), attempt_evidence::answered, attempt.at);
            ++answered_;
            return;
        }
        health_.on_result(engine_id(attempt.engine), attempt_evidence::failed, attempt.at);
        attempt.engine = -1;
        if (!limits_retries_) {
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

    int failing_engines_;
    bool limits_retries_;
    const instant failure_at_ = instant() + seconds(30);
    retry_policy policy_{retry_settings(), 1};
    upstream_health health_{breaker_settings()};
    std::mt19937 random_{7};
    std::priority_queue<event> events_;
    int attempts_ = 0;
    int interrupted_ = 0;
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

TEST(retry_policy, request_that_may_have_run_is_retried_only_if_idempotent) {
    CHECK_TRUE(retried(1, execution::no, false));
    CHECK_TRUE(retried(1, execution::maybe, true));
    CHECK_FALSE(retried(1, execution::maybe, false));
    CHECK_FALSE(retried(1, execution::yes, true));
    CHECK_FALSE(retried(4, execution::no, true));
}

TEST(retry_policy, exhausted_budget_affects_one_customer_only) {
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

TEST(retry_policy, delays_stay_within_the_ceiling_and_repeat_with_the_same_seed) {
    fuchsiaquay::backoff first(retry_settings(), 5);
    fuchsiaquay::backoff second(retry_settings(), 5);
    for (int retry = 1; retry < 20; ++retry) {
        const duration delay = first.delay(retry);
        CHECK_TRUE(delay == second.delay(retry));
        CHECK_TRUE(delay <= first.ceiling(retry));
    }
    CHECK_TRUE(first.ceiling(2) == 2 * first.ceiling(1));
    CHECK_TRUE(first.ceiling(40) == retry_settings().max_delay);
}

// Limit: 1.1 attempts per request, plus one attempt for each request that an engine failure
// interrupts.
TEST(retry_policy, attempts_stay_within_limit_when_a_third_of_engines_fails) {
    engine_simulation simulation(engines / 3, true);
    simulation.run();
    const double needed = static_cast<double>(simulation.interrupted()) / requests;
    UT_PRINT(StringFromFormat("third dead: %.4f attempts a request, %.4f needed, %d of %d answered",
                              simulation.attempts_per_request(), needed, simulation.answered(),
                              requests)
                 .asCharString());
    CHECK_TRUE(simulation.attempts_per_request() <= 1.1 + needed);
    CHECK_TRUE(simulation.answered() >= requests * 99 / 100);
    engine_simulation unlimited(engines / 3, false);
    unlimited.run();
    UT_PRINT(StringFromFormat("without breaker and budget: %.4f attempts a request",
                              unlimited.attempts_per_request())
                 .asCharString());
    CHECK_TRUE(unlimited.attempts_per_request() > 1.1 + needed);
}

TEST(retry_policy, attempts_stay_within_limit_when_all_engines_fail) {
    engine_simulation simulation(engines, true);
    simulation.run();
    UT_PRINT(
        StringFromFormat("all dead: %.4f attempts a request", simulation.attempts_per_request())
            .asCharString());
    const double needed = static_cast<double>(simulation.interrupted()) / requests;
    CHECK_TRUE(simulation.attempts_per_request() <= 1.1 + needed);
}
