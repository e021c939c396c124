#include "core/fleet/evacuation_set.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;

TEST_GROUP(evacuation_set){};

TEST(evacuation_set, covers_only_the_named_data_centres) {
    const evacuation_set set({"a", "c"}, 7);
    CHECK_TRUE(set.covers("a"));
    CHECK_FALSE(set.covers("b"));
    CHECK_TRUE(set.covers("c"));
}

TEST(evacuation_set, unknown_data_centre_is_covered_only_during_an_evacuation) {
    CHECK_FALSE(evacuation_set().covers(""));
    CHECK_TRUE(evacuation_set({"a"}, 7).covers(""));
}

TEST(evacuation_set, sets_of_other_revisions_differ) {
    CHECK_TRUE(evacuation_set({"a"}, 7) == evacuation_set({"a"}, 7));
    CHECK_TRUE(evacuation_set({"a"}, 7) != evacuation_set({"a"}, 8));
    CHECK_TRUE(evacuation_set({"a"}, 7) != evacuation_set({"b"}, 7));
}
