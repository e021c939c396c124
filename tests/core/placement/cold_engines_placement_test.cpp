#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/placement/engine_load.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/engine_work.hpp"
#include "core/placement/interference_aware_placement.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"
#include "tests/core/placement/engine_profiles.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Nine engines, three of which returned cold.
TEST_GROUP(cold_engines_placement) {
    static constexpr int engines = 9;
    static constexpr int cold_engines = 3;
    engine_profile profile_ = wide_engine_profile();
    std::map<std::string, engine_load> loads_;
    interference_aware_placement policy_;
    instant now_ = instant(seconds(100));

    void setup() override {
        for (int i = 0; i < engines; ++i) {
            loads_["engine-" + std::to_string(i)];
        }
    }
    static bool is_cold(const std::string& id) {
        return id.back() - '0' < cold_engines;
    }
    std::vector<engine_view> views(bool some_cold, double slowdown) const {
        std::vector<engine_view> result;
        for (const auto& [id, load] : loads_) {
            const bool cold = some_cold && is_cold(id);
            result.push_back({id, &profile_, &load, cold ? slowdown : 1.0, nullptr, cold});
        }
        return result;
    }
    static placement_request prompt(std::uint64_t key, std::int64_t tokens, duration target) {
        placement_request request;
        request.key = key;
        request.prompt_tokens = tokens;
        request.answer_tokens = 1'500;
        request.first_event_time_left = target;
        request.time_left = seconds(10);
        request.target_gap = tokens > 100'000 ? milliseconds(800) : milliseconds(200);
        return request;
    }
    void add(const std::string& engine, const placement_request& request) {
        engine_work work;
        work.key = request.key;
        work.engine = engine;
        work.phase = work_phase::decode;
        work.prefill_tokens = request.prompt_tokens;
        work.prefill_time = prefill_time(profile_, request.prompt_tokens);
        work.memory_tokens = request.prompt_tokens + request.answer_tokens;
        work.target_gap = request.target_gap;
        work.dispatched_at = now_;
        loads_[engine].apply("host", work);
    }
    /// Places `count` short prompts and returns how many went to cold engines.
    int place_short(int count) {
        int cold = 0;
        for (int i = 0; i < count; ++i) {
            const placement_request request =
                prompt(static_cast<std::uint64_t>(i) + 1, 5'000, milliseconds(250));
            const placement_decision decision = policy_.choose(request, views(true, 2.0), now_);
            CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
            cold += is_cold(decision.engine) ? 1 : 0;
            add(decision.engine, request);
        }
        return cold;
    }
};

// Load pattern: the engines of a data centre return together, and the others suffice.
TEST(cold_engines_placement, short_prompts_use_warm_engines_while_they_meet_the_target) {
    LONGS_EQUAL(0, place_short(50));
}

// Load pattern: as above, with more streams than the warm engines have slots.
TEST(cold_engines_placement, short_prompts_use_cold_engines_if_the_warm_ones_are_full) {
    CHECK_TRUE(place_short((engines - cold_engines) * 16 + 10) >= 10);
}

TEST(cold_engines_placement, long_prompt_keeps_off_cold_engines_if_warm_ones_meet_its_target) {
    for (std::uint64_t key = 1; key <= 20; ++key) {
        const placement_decision decision =
            policy_.choose(prompt(key, 210'000, seconds(6)), views(true, 2.0), now_);
        CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
        CHECK_FALSE(is_cold(decision.engine));
        for (const placement_part& part : decision.helpers) {
            CHECK_FALSE(is_cold(part.engine));
        }
    }
}

// Load pattern: a prompt that needs the memory of more engines than are warm.
TEST(cold_engines_placement, group_uses_cold_engines_if_the_warm_ones_do_not_suffice) {
    placement_request request = prompt(7, 3'000'000, seconds(60));
    request.time_left = seconds(120);
    const placement_decision decision = policy_.choose(request, views(true, 1.0), now_);
    CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
    CHECK_TRUE(decision.helpers.size() >= engines - cold_engines);
}

// Guards the deployments without cold engines: the same decisions on the same series.
TEST(cold_engines_placement, nothing_changes_if_all_engines_are_equal) {
    for (std::uint64_t key = 1; key <= 60; ++key) {
        const placement_request request = prompt(key, 5'000, milliseconds(250));
        std::vector<engine_view> all_cold = views(false, 1.0);
        for (engine_view& view : all_cold) {
            view.cold = true;
        }
        const placement_decision warm = policy_.choose(request, views(false, 1.0), now_);
        const placement_decision cold = policy_.choose(request, all_cold, now_);
        CHECK_TRUE(warm.engine == cold.engine);
        CHECK_TRUE(warm.time_to_first_event == cold.time_to_first_event);
        add(warm.engine, request);
    }
}
