#include "tests/servers/journal/journal_random_run.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::journal_fault;
using fuchsiaquay::journal_random_run;

namespace {

constexpr unsigned last_seed = 300;

int seeds_with_double_execution(journal_fault fault) {
    int broken = 0;
    for (unsigned seed = 1; seed <= last_seed; ++seed) {
        journal_random_run run(seed, fault);
        run.execute();
        broken += run.most_executions() > 1 ? 1 : 0;
    }
    return broken;
}

}  // namespace

TEST_GROUP(journal_random_run){};

TEST(journal_random_run, random_faults_run_no_key_twice) {
    LONGS_EQUAL(0, seeds_with_double_execution(journal_fault::none));
}

TEST(journal_random_run, random_faults_leave_no_call_of_a_live_node_unanswered) {
    for (unsigned seed = 1; seed <= last_seed; ++seed) {
        journal_random_run run(seed, journal_fault::none);
        run.execute();
        CHECK_TRUE(run.verdicts_match_executions());
        if (run.crashes() == 0) {
            LONGS_EQUAL(0, run.unanswered_calls());
        }
    }
}

TEST(journal_random_run, each_injected_fault_is_detected_by_some_seed) {
    for (const journal_fault fault :
         {journal_fault::call_before_confirmed, journal_fault::forget_unanswered_call,
          journal_fault::take_over_started, journal_fault::release_unknown_mark}) {
        CHECK_TRUE(seeds_with_double_execution(fault) > 0);
    }
}
