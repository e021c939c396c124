#include "core/relay/answer_memory.hpp"

#include <CppUTest/TestHarness.h>

#include "core/relay/answer_holder.hpp"

using namespace fuchsiaquay;

namespace {

struct counting_holder final : answer_holder {
    void on_answer_memory_exceeded() override { ++dropped; }

    int dropped = 0;
};

}  // namespace

TEST_GROUP(answer_memory) {
    answer_memory memory_{100};
    counting_holder small_;
    counting_holder large_;
    counting_holder other_;
};

// Guards against answers without end that together take the memory of the process, each below the
// limit of a single answer.
TEST(answer_memory, largest_answer_is_dropped_when_the_limit_is_exceeded) {
    memory_.resize(large_, 60);
    memory_.resize(small_, 10);
    memory_.resize(other_, 31);
    LONGS_EQUAL(1, large_.dropped);
    LONGS_EQUAL(0, small_.dropped + other_.dropped);
}

TEST(answer_memory, answer_that_is_about_to_end_makes_room_for_others) {
    memory_.resize(large_, 101);
    memory_.resize(large_, 120);
    memory_.resize(small_, 50);
    memory_.resize(other_, 50);
    LONGS_EQUAL(1, large_.dropped);
    LONGS_EQUAL(0, small_.dropped + other_.dropped);
    memory_.remove(large_);
    LONGS_EQUAL(100, memory_.used());
    memory_.resize(other_, 51);
    LONGS_EQUAL(1, other_.dropped);
}

TEST(answer_memory, removed_answers_take_no_memory) {
    memory_.resize(small_, 40);
    memory_.resize(small_, 0);
    memory_.remove(large_);
    LONGS_EQUAL(0, memory_.used());
}
