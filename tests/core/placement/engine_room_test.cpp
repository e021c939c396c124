#include "core/placement/engine_room.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_load.hpp"

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Ten engines with two slots.
TEST_GROUP(engine_room) {
    engine_profile profile_;
    std::vector<engine_load> loads_{10};
    duration usual_prefill_ = milliseconds(30);
    double prompts_per_s_ = 40.0;
    instant now_{seconds(10)};

    void setup() override {
        profile_.slots = 2;
    }
    void start_prefill(std::size_t engine, duration prefill) {
        engine_work work;
        work.key = 1;
        work.prefill_time = prefill;
        work.target_gap = seconds(10);
        work.dispatched_at = now_;
        loads_[engine].apply("h", work);
    }
    bool is_short(duration target) const {
        std::vector<engine_view> engines;
        for (std::size_t index = 0; index < loads_.size(); ++index) {
            engines.push_back({std::to_string(index), &profile_, &loads_[index], 1.0});
        }
        return engines_short(engines, target, usual_prefill_, prompts_per_s_, now_);
    }
};

TEST(engine_room, idle_engines_are_not_short) {
    CHECK_FALSE(is_short(milliseconds(250)));
}

TEST(engine_room, engines_busy_beyond_the_target_are_short) {
    for (std::size_t engine = 0; engine < 8; ++engine) {
        start_prefill(engine, seconds(1));
    }
    CHECK_FALSE(is_short(milliseconds(250)));
    start_prefill(8, seconds(1));
    CHECK_TRUE(is_short(milliseconds(250)));
    CHECK_FALSE(is_short(seconds(2)));
}

TEST(engine_room, a_burst_keeps_more_engines_but_no_more_than_an_eighth) {
    for (std::size_t engine = 0; engine < 9; ++engine) {
        start_prefill(engine, seconds(1));
    }
    prompts_per_s_ = 2.0;
    CHECK_FALSE(is_short(milliseconds(250)));
    prompts_per_s_ = 1'000.0;
    CHECK_TRUE(is_short(milliseconds(250)));
    loads_[8] = engine_load();
    CHECK_FALSE(is_short(milliseconds(250)));
}

TEST(engine_room, engines_without_a_free_slot_are_short) {
    for (engine_load& load : loads_) {
        for (std::uint64_t key = 1; key <= 2; ++key) {
            engine_work work;
            work.key = key;
            work.phase = work_phase::decode;
            work.target_gap = milliseconds(250);
            load.apply("h", work);
        }
    }
    CHECK_TRUE(is_short(seconds(8)));
}

TEST(engine_room, engines_whose_streams_a_prompt_would_delay_are_short) {
    for (engine_load& load : loads_) {
        engine_work work;
        work.key = 1;
        work.phase = work_phase::decode;
        work.target_gap = milliseconds(100);
        load.apply("h", work);
    }
    profile_.read_tokens_per_second = 10'000;
    profile_.read_tokens_per_step = 10'000;
    CHECK_FALSE(is_short(seconds(1)));
    usual_prefill_ = milliseconds(120);
    CHECK_TRUE(is_short(seconds(1)));
}

TEST(engine_room, prompts_that_engines_share_need_room_for_a_part_only) {
    usual_prefill_ = seconds(9);
    CHECK_FALSE(is_short(seconds(8)));
}
