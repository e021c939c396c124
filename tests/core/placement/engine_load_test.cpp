#include "core/placement/engine_load.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(engine_load) {
    engine_load load_;
    instant now_ = instant(seconds(50));

    engine_work work(std::uint64_t key, work_phase phase) const {
        engine_work result;
        result.key = key;
        result.phase = phase;
        result.prefill_time = milliseconds(300);
        result.memory_tokens = 1'000;
        result.target_gap = milliseconds(200);
        result.dispatched_at = now_;
        return result;
    }
};

TEST(engine_load, pending_prefill_adds_up_and_decreases_over_time) {
    load_.apply("a", work(1, work_phase::prefill));
    load_.apply("b", work(1, work_phase::prefill));
    CHECK_TRUE(load_.pending_prefill(now_) == milliseconds(600));
    CHECK_TRUE(load_.pending_prefill(now_ + milliseconds(400)) == milliseconds(200));
    CHECK_TRUE(load_.pending_prefill(now_ + seconds(2)) == duration::zero());
}

TEST(engine_load, prompt_without_its_first_event_is_overdue) {
    load_.apply("a", work(1, work_phase::prefill));
    CHECK_TRUE(load_.overdue(now_ + milliseconds(300)) == duration::zero());
    CHECK_TRUE(load_.overdue(now_ + milliseconds(500)) == milliseconds(200));
    load_.apply("a", work(1, work_phase::decode));
    CHECK_TRUE(load_.overdue(now_ + milliseconds(500)) == duration::zero());
}

TEST(engine_load, prompt_is_not_overdue_after_a_later_one_was_answered) {
    // A suspended host announces no progress, although its streams may have started.
    load_.apply("suspended", work(1, work_phase::prefill));
    engine_work later = work(2, work_phase::decode);
    later.dispatched_at = now_ + milliseconds(100);
    load_.apply("b", later);
    CHECK_TRUE(load_.overdue(now_ + seconds(1)) == duration::zero());
}

TEST(engine_load, answered_part_of_another_prompt_does_not_hide_an_overdue_one) {
    // An engine reads the parts of other prompts before its own, which then starts late.
    load_.apply("a", work(1, work_phase::prefill));
    engine_work part = work(2, work_phase::decode);
    part.target_gap = duration::zero();
    part.dispatched_at = now_ + milliseconds(100);
    load_.apply("b", part);
    CHECK_TRUE(load_.overdue(now_ + milliseconds(500)) == milliseconds(200));
}

TEST(engine_load, work_of_a_removed_host_is_dropped) {
    load_.apply("a", work(1, work_phase::decode));
    load_.apply("b", work(1, work_phase::decode));
    load_.remove_host("a");
    LONGS_EQUAL(1, load_.requests());
    LONGS_EQUAL(1'000, load_.memory_tokens());
}

TEST(engine_load, ended_work_is_removed) {
    load_.apply("a", work(1, work_phase::decode));
    load_.apply("a", work(1, work_phase::ended));
    CHECK_TRUE(load_.empty());
}

TEST(engine_load, late_and_very_long_prompts_wait_behind_prompts_on_time) {
    engine_work on_time = work(1, work_phase::waiting);
    on_time.dispatched_at = now_ + seconds(2);
    engine_work late = work(2, work_phase::waiting);
    late.dispatched_at = now_ - seconds(1);
    engine_work very_long = work(3, work_phase::waiting);
    very_long.dispatched_at = now_ + seconds(1);
    very_long.prefill_time = seconds(47);
    load_.apply("a", on_time);
    load_.apply("b", late);
    load_.apply("c", very_long);
    LONGS_EQUAL(0, load_.prompts_waiting_before(on_time, now_).size());
    LONGS_EQUAL(1, load_.prompts_waiting_before(late, now_).size());
    LONGS_EQUAL(2, load_.prompts_waiting_before(very_long, now_).size());
}

TEST(engine_load, urgent_prompts_wait_before_less_urgent_ones_with_an_earlier_target) {
    engine_work less_urgent = work(1, work_phase::waiting);
    less_urgent.rank = 2;
    less_urgent.dispatched_at = now_ + seconds(1);
    engine_work urgent = work(2, work_phase::waiting);
    urgent.rank = 1;
    urgent.dispatched_at = now_ + seconds(2);
    load_.apply("a", less_urgent);
    load_.apply("b", urgent);
    LONGS_EQUAL(0, load_.prompts_waiting_before(urgent, now_).size());
    LONGS_EQUAL(1, load_.prompts_waiting_before(less_urgent, now_).size());
}

TEST(engine_load, concurrent_prompts_on_one_engine_are_ordered_by_key) {
    const engine_work first = work(1, work_phase::prefill);
    engine_work second = work(2, work_phase::prefill);
    second.dispatched_at = first.dispatched_at + milliseconds(3);
    load_.apply("a", first);
    load_.apply("b", second);
    engine_work with_later_dispatch = first;
    with_later_dispatch.dispatched_at = second.dispatched_at + milliseconds(2);
    CHECK_FALSE(load_.claim_lost(first));
    load_.apply("a", with_later_dispatch);
    CHECK_TRUE(load_.claim_lost(second));
}

TEST(engine_load, claim_is_not_lost_to_a_prompt_dispatched_earlier) {
    engine_work before = work(1, work_phase::prefill);
    before.dispatched_at = now_ - seconds(1);
    load_.apply("a", before);
    CHECK_FALSE(load_.claim_lost(work(2, work_phase::prefill)));
}
