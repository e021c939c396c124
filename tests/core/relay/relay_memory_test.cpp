#include "core/relay/relay_memory.hpp"

#include <CppUTest/TestHarness.h>

#include "core/relay/memory_holder.hpp"

using namespace fuchsiaquay;

namespace {

struct counting_holder final : memory_holder {
    bool on_memory_exceeded() override {
        dropped += able ? 1 : 0;
        return able;
    }

    int dropped = 0;
    bool able = true;
};

}  // namespace

TEST_GROUP(relay_memory) {
    relay_memory memory_{100};
    counting_holder small_;
    counting_holder large_;
    counting_holder other_;
};

// Guards against answers without end that together take the memory of the process, each below the
// limit of a single answer.
TEST(relay_memory, largest_answer_is_dropped_when_the_limit_is_exceeded) {
    memory_.set(large_, {60, "a"});
    memory_.set(small_, {10, "a"});
    memory_.set(other_, {31, "a"});
    LONGS_EQUAL(1, large_.dropped);
    LONGS_EQUAL(0, small_.dropped + other_.dropped);
    LONGS_EQUAL(1, memory_.cuts());
}

TEST(relay_memory, answer_that_is_about_to_end_makes_room_for_others) {
    memory_.set(large_, {101, "a"});
    memory_.set(large_, {120, "a"});
    memory_.set(small_, {50, "a"});
    memory_.set(other_, {50, "a"});
    LONGS_EQUAL(1, large_.dropped);
    LONGS_EQUAL(0, small_.dropped + other_.dropped);
    memory_.remove(large_);
    LONGS_EQUAL(100, memory_.used());
    memory_.set(other_, {51, "a"});
    LONGS_EQUAL(1, other_.dropped);
}

TEST(relay_memory, removed_answers_take_no_memory) {
    memory_.set(small_, {40, "a"});
    memory_.set(small_, {0, "a"});
    memory_.remove(large_);
    LONGS_EQUAL(0, memory_.used());
}

TEST(relay_memory, nothing_is_dropped_up_to_the_limit) {
    memory_.set(large_, {100, "a", false});
    LONGS_EQUAL(0, large_.dropped);
}

// A caller without a valid key, and one that holds more.
TEST(relay_memory, memory_of_unconfirmed_callers_is_given_up_first) {
    memory_.set(large_, {60, "a"});
    memory_.set(small_, {10, "b", false});
    memory_.set(other_, {31, "c"});
    LONGS_EQUAL(1, small_.dropped);
    LONGS_EQUAL(0, large_.dropped + other_.dropped);
}

// Many bodies of one caller, each smaller than the body of another caller.
TEST(relay_memory, caller_that_holds_the_most_gives_up_its_largest_part) {
    memory_.set(large_, {40, "calm"});
    memory_.set(small_, {25, "crowd"});
    memory_.set(other_, {36, "crowd"});
    LONGS_EQUAL(1, other_.dropped);
    LONGS_EQUAL(0, large_.dropped + small_.dropped);
}

TEST(relay_memory, holder_that_can_give_up_nothing_is_passed_over) {
    large_.able = false;
    memory_.set(large_, {90, "a"});
    memory_.set(small_, {11, "b"});
    LONGS_EQUAL(1, small_.dropped);
    memory_.remove(small_);
    other_.able = false;
    memory_.set(other_, {11, "c"});
    LONGS_EQUAL(101, memory_.used());
}

TEST(relay_memory, holder_that_kept_its_memory_counts_again_after_it_was_removed) {
    memory_.set(large_, {101, "a"});
    memory_.remove(large_);
    memory_.set(large_, {101, "a"});
    LONGS_EQUAL(2, large_.dropped);
}
