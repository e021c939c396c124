#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/placement/engine_load.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/interference_aware_placement.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"
#include "tests/core/placement/engine_profiles.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The load: long prompts come faster than single engines can process them, while nearly all
/// engines process parts of earlier ones.
TEST_GROUP(burst_of_long_prompts) {
    static constexpr int engines = 12;
    static constexpr std::int64_t long_prompt = 260'000;
    engine_profile profile_ = narrow_engine_profile();
    std::map<std::string, engine_load> loads_;
    interference_aware_placement policy_;
    instant now_ = instant(seconds(100));

    void setup() override {
        for (int i = 0; i < engines; ++i) {
            loads_["engine-" + std::to_string(i)];
        }
    }

    /// Adds a part of a prompt for a request that another engine answers.
    void add_part(const std::string& engine, std::uint64_t key, duration prefill,
                  duration dispatched_before) {
        engine_work work;
        work.key = key;
        work.engine = engine;
        work.prefill_tokens = long_prompt;
        work.prefill_time = prefill;
        work.dispatched_at = now_ - dispatched_before;
        loads_[engine].apply("h2", work);
    }
    static placement_request request(std::int64_t tokens) {
        placement_request wanted;
        wanted.key = 1;
        wanted.prompt_tokens = tokens;
        wanted.answer_tokens = 700;
        wanted.first_event_time_left = seconds(4);
        wanted.time_left = seconds(15);
        wanted.target_gap = seconds(1);
        return wanted;
    }
    placement_decision choose(const placement_request& wanted) const {
        std::vector<engine_view> views;
        for (const auto& [id, load] : loads_) {
            views.push_back({id, &profile_, &load, 1.0});
        }
        return policy_.choose(wanted, views, now_);
    }
    std::string name(int index) const {
        return "engine-" + std::to_string(index);
    }
};

// An engine processes the part that it got last before the others. The first prompt would have its
// first event after the second one.
TEST(burst_of_long_prompts, engine_gets_no_part_before_the_prompt_that_it_reads_is_answered) {
    for (int i = 0; i < engines - 3; ++i) {
        // Expected to end now, but not answered yet.
        add_part(name(i), 50, seconds(1), seconds(1));
    }
    placement_request wanted = request(long_prompt);
    wanted.first_event_time_left = seconds(8);
    const placement_decision decision = choose(wanted);
    CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
    std::set<std::string> used = {decision.engine};
    for (const placement_part& part : decision.helpers) {
        used.insert(part.engine);
    }
    for (int i = 0; i < engines - 3; ++i) {
        CHECK_EQUAL(0, used.count(name(i)));
    }
}

TEST(burst_of_long_prompts, prompt_waits_for_enough_engines_if_they_are_expected_in_time) {
    for (int i = 0; i < engines - 1; ++i) {
        add_part(name(i), 50, seconds(1), milliseconds(500));
    }
    // One engine alone takes 7 s.
    const placement_decision waiting = choose(request(long_prompt));
    CHECK_TRUE(waiting.outcome == placement_decision::verdict::wait);
    CHECK_TRUE(waiting.answer_expected);
    CHECK_TRUE(waiting.time_to_first_event < seconds(4));
    for (int i = 0; i < engines - 1; ++i) {
        engine_work ended;
        ended.key = 50;
        ended.engine = name(i);
        ended.phase = work_phase::ended;
        loads_[name(i)].apply("h2", ended);
    }
    const placement_decision placed = choose(request(long_prompt));
    CHECK_TRUE(placed.outcome == placement_decision::verdict::place);
    CHECK_TRUE(placed.time_to_first_event < seconds(4));
}

TEST(burst_of_long_prompts, prompt_that_misses_its_target_anyway_is_placed_at_once) {
    for (int i = 0; i < engines - 1; ++i) {
        add_part(name(i), 50, seconds(9), milliseconds(500));
    }
    const placement_decision decision = choose(request(long_prompt));
    CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
    CHECK_TRUE(decision.time_to_first_event > seconds(4));
}
