#include "core/fleet/recent_work_changes.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(recent_work_changes) {
    recent_work_changes changes_;
    instant now_ = instant(seconds(50));

    static engine_work work(std::uint64_t key, work_phase phase = work_phase::prefill) {
        engine_work result;
        result.key = key;
        result.engine = "engine";
        result.phase = phase;
        return result;
    }
};

TEST(recent_work_changes, change_is_repeated_for_a_while_only) {
    changes_.add({work(1)});
    LONGS_EQUAL(1, changes_.announce(now_).size());
    LONGS_EQUAL(1, changes_.announce(now_ + milliseconds(50)).size());
    LONGS_EQUAL(0, changes_.announce(now_ + milliseconds(500)).size());
}

TEST(recent_work_changes, change_is_announced_although_the_host_was_delayed) {
    // The process was suspended between the change and the batched announcement.
    changes_.add({work(1)});
    now_ += seconds(3);
    LONGS_EQUAL(1, changes_.announce(now_).size());
}

TEST(recent_work_changes, latest_state_of_each_request_is_announced_in_order) {
    changes_.add({work(2)});
    changes_.add({work(1)});
    changes_.add({work(2, work_phase::decode)});
    const std::vector<engine_work> works = changes_.announce(now_);
    LONGS_EQUAL(2, works.size());
    LONGS_EQUAL(1, works[0].key);
    LONGS_EQUAL(2, works[1].key);
    CHECK_TRUE(works[1].phase == work_phase::decode);
}
