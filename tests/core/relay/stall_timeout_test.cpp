#include "core/relay/stall_timeout.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::stall_conditions;
using fuchsiaquay::stall_timeout;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(stall_timeout){
    static stall_conditions stream(bool awaiting_first_event){stall_conditions facts;
facts.is_stream = true;
facts.awaiting_first_event = awaiting_first_event;
facts.target_gap = milliseconds(200);
facts.expected_first_event = milliseconds(100);
return facts;
}
}
;

TEST(stall_timeout, short_stream_is_left_before_its_caller_gives_up) {
    // Callers of the users' platform leave after two seconds without an event.
    CHECK_TRUE(stall_timeout(stream(true)) < seconds(2));
    CHECK_TRUE(stall_timeout(stream(false)) < seconds(2));
}

TEST(stall_timeout, long_prompt_may_be_read_after_parts_of_others) {
    stall_conditions facts = stream(true);
    facts.expected_first_event = milliseconds(460);
    facts.full_prefill_time = milliseconds(3'500);
    CHECK_TRUE(stall_timeout(facts) >= milliseconds(3'500));
}

TEST(stall_timeout, plain_request_leaves_time_for_another_upstream) {
    stall_conditions facts;
    facts.target = milliseconds(150);
    facts.timeout = milliseconds(800);
    CHECK_TRUE(stall_timeout(facts) <= facts.timeout / 2);
    CHECK_TRUE(stall_timeout(facts) >= facts.target);
}
