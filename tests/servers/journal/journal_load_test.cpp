#include "tests/servers/journal/journal_load.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::journal_counters;
using fuchsiaquay::journal_load;
using std::chrono::seconds;

namespace {

constexpr double writes_per_node = 40.0;
constexpr double write_burst = 8.0;

}  // namespace

TEST_GROUP(journal_load){
    // Required: no node writes more than its share of the budget plus one burst.
    void check_within_budget(journal_load & load){
        const double budget = 3 * (writes_per_node * (load.seconds() + 5.0) + write_burst);
CHECK_TRUE(static_cast<double>(load.sum(&journal_counters::store_writes)) <= budget);
LONGS_EQUAL(0, load.refused_without_time_);
}
}
;

// Required: a call whose write is batched with others stores at most 64 bytes besides its answer,
// and 95% of starts are durable within the maximum wait for the budget plus four store calls.
TEST(journal_load, calls_within_the_budget_are_all_started_in_time) {
    journal_load load(20.0, writes_per_node, seconds(10));
    load.run(seconds(10));
    UT_PRINT(load.report().c_str());
    check_within_budget(load);
    LONGS_EQUAL(load.sum(&journal_counters::begins), load.sum(&journal_counters::started));
    CHECK_TRUE(load.stored_bytes_per_call() <= 64 + 100 + 40);
    CHECK_TRUE(load.latency_ms(0.95) <= 100.0 + 4 * 5.0);
}

TEST(journal_load, calls_beyond_the_budget_are_refused_and_writes_are_not_exceeded) {
    for (const double rate : {100.0, 400.0}) {
        for (const seconds period : {seconds(1), seconds(10)}) {
            journal_load load(rate, writes_per_node, period);
            load.run(seconds(10));
            UT_PRINT((std::to_string(period.count()) + " s a shard, " + load.report()).c_str());
            check_within_budget(load);
        }
    }
}
