#include "tests/servers/journal/journal_scenario.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::begin_verdict;
using fuchsiaquay::journal_fault;
using fuchsiaquay::journal_scenario_result;

TEST_GROUP(journal_scenario) {
    using scenario = journal_scenario_result (*)(journal_fault);

    void check_runs_once_without_fault(scenario run, journal_fault fault, begin_verdict expected) {
        const journal_scenario_result faulty = run(fault);
        CHECK_TEXT(faulty.executions > 1, "the injected fault has no effect in this scenario");
        const journal_scenario_result correct = run(journal_fault::none);
        LONGS_EQUAL(1, correct.executions);
        LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(correct.last));
    }
};

TEST(journal_scenario, call_before_confirmed_start_runs_twice) {
    check_runs_once_without_fault(fuchsiaquay::start_lost_and_run_elsewhere,
                                  journal_fault::call_before_confirmed, begin_verdict::started);
}

TEST(journal_scenario, write_without_compare_runs_twice) {
    LONGS_EQUAL(2, fuchsiaquay::presented_at_two_nodes_at_once(false).executions);
    LONGS_EQUAL(1, fuchsiaquay::presented_at_two_nodes_at_once(true).executions);
}

TEST(journal_scenario, forgotten_unanswered_call_runs_twice) {
    check_runs_once_without_fault(fuchsiaquay::call_unanswered_and_asked_again,
                                  journal_fault::forget_unanswered_call,
                                  begin_verdict::may_have_run);
}

TEST(journal_scenario, taken_over_start_runs_twice) {
    check_runs_once_without_fault(fuchsiaquay::retry_elsewhere_while_call_runs,
                                  journal_fault::take_over_started, begin_verdict::in_progress);
}

TEST(journal_scenario, mark_released_by_later_incarnation_runs_twice) {
    check_runs_once_without_fault(fuchsiaquay::writer_replaced_after_its_call,
                                  journal_fault::release_unknown_mark, begin_verdict::may_have_run);
}

TEST(journal_scenario, key_before_horizon_runs_twice) {
    check_runs_once_without_fault(fuchsiaquay::key_presented_after_expiry,
                                  journal_fault::ignore_horizon, begin_verdict::expired_key);
}

TEST(journal_scenario, abandoned_start_that_takes_effect_late_releases_the_key) {
    const journal_scenario_result faulty =
        fuchsiaquay::abandoned_start_lands_late(journal_fault::forget_abandoned_mark);
    LONGS_EQUAL(0, faulty.executions);
    LONGS_EQUAL(static_cast<int>(begin_verdict::may_have_run), static_cast<int>(faulty.last));
    const journal_scenario_result correct =
        fuchsiaquay::abandoned_start_lands_late(journal_fault::none);
    LONGS_EQUAL(1, correct.executions);
    LONGS_EQUAL(static_cast<int>(begin_verdict::started), static_cast<int>(correct.last));
}
