#include "core/relay/stall_patience.hpp"

#include <CppUTest/TestHarness.h>

using fuchsiaquay::stall_facts;
using fuchsiaquay::stall_patience;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(stall_patience){static stall_facts stream(bool reading){stall_facts facts;
facts.streams = true;
facts.reading = reading;
facts.target_gap = milliseconds(200);
facts.expected_first = milliseconds(100);
return facts;
}
}
;

TEST(stall_patience, short_stream_is_left_before_its_caller_gives_up) {
    // Callers of the users' platform leave after two seconds without an event.
    CHECK_TRUE(stall_patience(stream(true)) < seconds(2));
    CHECK_TRUE(stall_patience(stream(false)) < seconds(2));
}

TEST(stall_patience, long_prompt_may_be_read_after_parts_of_others) {
    stall_facts facts = stream(true);
    facts.expected_first = milliseconds(460);
    facts.whole_read = milliseconds(3'500);
    CHECK_TRUE(stall_patience(facts) >= milliseconds(3'500));
}

TEST(stall_patience, plain_request_leaves_time_for_another_upstream) {
    stall_facts facts;
    facts.target = milliseconds(150);
    facts.timeout = milliseconds(800);
    CHECK_TRUE(stall_patience(facts) <= facts.timeout / 2);
    CHECK_TRUE(stall_patience(facts) >= facts.target);
}
