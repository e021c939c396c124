#include "core/relay/stall_timeout.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::stall_conditions;
using fuchsiaquay::stall_timeout;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(stall_timeout){
    static stall_conditions stream(bool awaiting_first_event){stall_conditions conditions;
conditions.is_stream = true;
conditions.awaiting_first_event = awaiting_first_event;
conditions.target_gap = milliseconds(200);
conditions.expected_first_event = milliseconds(100);
return conditions;
}
}
;

TEST(stall_timeout, short_stream_stalls_before_its_caller_disconnects) {
    // Callers of the users' platform disconnect after two seconds without an event.
    CHECK_TRUE(stall_timeout(stream(true)) < seconds(2));
    CHECK_TRUE(stall_timeout(stream(false)) < seconds(2));
}

TEST(stall_timeout, long_prompt_allows_for_prefill_of_other_parts) {
    stall_conditions conditions = stream(true);
    conditions.expected_first_event = milliseconds(460);
    conditions.full_prefill_time = milliseconds(3'500);
    CHECK_TRUE(stall_timeout(conditions) >= milliseconds(3'500));
}

TEST(stall_timeout, plain_request_leaves_time_for_another_upstream) {
    stall_conditions conditions;
    conditions.target = milliseconds(150);
    conditions.timeout = milliseconds(800);
    CHECK_TRUE(stall_timeout(conditions) <= conditions.timeout / 2);
    CHECK_TRUE(stall_timeout(conditions) >= conditions.target);
}
