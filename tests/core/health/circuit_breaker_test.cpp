#include "core/health/circuit_breaker.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::attempt_evidence;
using fuchsiaquay::breaker_settings;
using fuchsiaquay::breaker_state;
using fuchsiaquay::circuit_breaker;
using fuchsiaquay::instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(circuit_breaker) {
    circuit_breaker breaker_{breaker_settings()};
    instant now_{};

    void send(attempt_evidence evidence) {
        breaker_.on_sent(now_);
        breaker_.on_result(evidence, now_);
    }
    void open() {
        for (int failure = 0; failure < 3; ++failure) {
            send(attempt_evidence::failed);
        }
    }
};

TEST(circuit_breaker, failures_in_a_row_open_and_answer_between_does_not) {
    send(attempt_evidence::failed);
    send(attempt_evidence::failed);
    send(attempt_evidence::answered);
    send(attempt_evidence::failed);
    send(attempt_evidence::stalled_new_connection);
    CHECK_TRUE(breaker_.allows(now_));
    send(attempt_evidence::failed);
    CHECK_FALSE(breaker_.allows(now_));
}

// Guards against requests that go to an upstream whose process is gone until it has failed thrice.
TEST(circuit_breaker, refused_connection_opens_at_once) {
    send(attempt_evidence::refused);
    CHECK_FALSE(breaker_.allows(now_));
    CHECK_TRUE(breaker_.allows(now_ + seconds(1)));
}

TEST(circuit_breaker, half_open_lets_one_trial_through_and_answer_closes) {
    open();
    now_ += seconds(1);
    CHECK_TRUE(breaker_.state(now_) == breaker_state::half_open);
    CHECK_TRUE(breaker_.allows(now_));
    breaker_.on_sent(now_);
    CHECK_FALSE(breaker_.allows(now_));
    breaker_.on_result(attempt_evidence::answered, now_);
    CHECK_TRUE(breaker_.state(now_) == breaker_state::closed);
}

TEST(circuit_breaker, failed_trial_opens_for_twice_the_time) {
    open();
    now_ += seconds(1);
    send(attempt_evidence::failed);
    now_ += milliseconds(1'999);
    CHECK_FALSE(breaker_.allows(now_));
    now_ += milliseconds(1);
    CHECK_TRUE(breaker_.allows(now_));
}

TEST(circuit_breaker, trial_without_result_is_followed_by_another) {
    open();
    now_ += seconds(1);
    breaker_.on_sent(now_);
    now_ += seconds(9);
    CHECK_FALSE(breaker_.allows(now_));
    now_ += seconds(1);
    CHECK_TRUE(breaker_.allows(now_));
    breaker_.on_sent(now_);
    CHECK_FALSE(breaker_.allows(now_));
}

TEST(circuit_breaker, silent_old_connections_do_not_open) {
    for (int stall = 0; stall < 50; ++stall) {
        send(attempt_evidence::stalled_reused_connection);
    }
    CHECK_TRUE(breaker_.state(now_) == breaker_state::closed);
    for (int stall = 0; stall < 3; ++stall) {
        send(attempt_evidence::stalled_new_connection);
    }
    CHECK_TRUE(breaker_.state(now_) == breaker_state::open);
}

TEST(circuit_breaker, late_results_from_before_do_not_move_an_open_circuit) {
    open();
    breaker_.on_result(attempt_evidence::answered, now_);
    CHECK_TRUE(breaker_.state(now_) == breaker_state::open);
    now_ += seconds(1);
    breaker_.on_result(attempt_evidence::failed, now_);
    CHECK_TRUE(breaker_.allows(now_));
}
