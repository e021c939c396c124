#include <CppUTest/TestHarness.h>

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

/// A burst of short prompts while long ones hold most engines: the prompts wait at fifteen hosts,
/// which place them without knowing what the others place at the same moment.
TEST_GROUP(burst_of_short_prompts_after_long_ones) {
    static constexpr int engines = 20;
    static constexpr std::size_t hosts = 15;
    static constexpr std::int64_t tokens = 5'000;
    static constexpr duration gap = milliseconds(250);

    engine_profile profile_ = narrow_engine_profile();
    std::map<std::string, engine_load> loads_;
    interference_aware_placement policy_;
    instant now_ = instant(seconds(100));
    std::uint64_t next_key_ = 1;

    void setup() override {
        for (int i = 0; i < engines; ++i) {
            loads_["engine-" + std::to_string(i)];
        }
    }

    void add(const std::string& engine, std::int64_t prompt_tokens, duration target_gap,
             work_phase phase) {
        engine_work work;
        work.key = next_key_++;
        work.engine = engine;
        work.phase = phase;
        work.prefill_tokens = prompt_tokens;
        work.prefill_time = prefill_time(profile_, prompt_tokens);
        work.memory_tokens = prompt_tokens;
        work.target_gap = target_gap;
        work.dispatched_at = now_;
        loads_[engine].apply("host", work);
    }

    /// All engines but `engine-0` process a part of a long prompt.
    void hold_all_but_one() {
        for (auto& [id, load] : loads_) {
            if (id != "engine-0") {
                add(id, 260'000, {}, work_phase::prefill);
            }
        }
    }

    placement_request request(duration first_event_time_left) {
        placement_request result;
        result.key = next_key_++;
        result.prompt_tokens = tokens;
        result.answer_tokens = 1'400;
        result.first_event_time_left = first_event_time_left;
        result.time_left = seconds(10);
        result.abandon_time_left = seconds(2);
        result.target_gap = gap;
        return result;
    }

    placement_decision choose(const placement_request& wanted) const {
        std::vector<engine_view> views;
        for (const auto& [id, load] : loads_) {
            views.push_back({id, &profile_, &load, 1.0});
        }
        return policy_.choose(wanted, views, now_);
    }

    /// Number of prompts that the hosts place if each has `waiting` ones and sees only its own.
    /// @param known_hosts  number of hosts that each of them knows of
    int placed_at_once(int waiting, std::size_t known_hosts, duration first_event_time_left) {
        const std::map<std::string, engine_load> before = loads_;
        int placed = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            loads_ = before;
            const double draw = room_share_draw("host-" + std::to_string(host), now_);
            std::size_t own = 0;
            for (int i = 0; i < waiting; ++i) {
                placement_request wanted = request(first_event_time_left);
                wanted.share = room_share(known_hosts, own, draw);
                const placement_decision decision = choose(wanted);
                if (decision.outcome == placement_decision::verdict::place) {
                    add(decision.engine, tokens, gap, work_phase::prefill);
                    ++own;
                    ++placed;
                }
            }
        }
        loads_ = before;
        return placed;
    }

    /// Fills the slots of all engines but one in each.
    void fill(int streams) {
        for (const auto& [id, load] : loads_) {
            for (int i = 0; i < streams; ++i) {
                add(id, 1'000, gap, work_phase::decode);
            }
        }
    }
};

TEST(burst_of_short_prompts_after_long_ones, hosts_do_not_overfill_the_first_engine_that_has_room) {
    hold_all_but_one();
    const int placed = placed_at_once(3, hosts, milliseconds(250));
    CHECK_TRUE(placed > 0);
    CHECK_TRUE(placed <= profile_.slots);
}

TEST(burst_of_short_prompts_after_long_ones, hosts_that_know_of_no_others_overfill_it) {
    hold_all_but_one();
    CHECK_TRUE(placed_at_once(3, 1, milliseconds(250)) > 2 * profile_.slots);
}

TEST(burst_of_short_prompts_after_long_ones, waiting_for_the_share_names_the_reason) {
    hold_all_but_one();
    placement_request wanted = request(milliseconds(250));
    wanted.share = room_share(hosts, 3, 0.5);
    const placement_decision decision = choose(wanted);
    CHECK_TRUE(decision.outcome == placement_decision::verdict::wait);
    CHECK_TRUE(decision.answer_expected);
    STRCMP_EQUAL("room is left to other hosts", decision.reason);
}

TEST(burst_of_short_prompts_after_long_ones, host_without_others_decides_as_without_shares) {
    hold_all_but_one();
    for (int i = 0; i < 6; ++i) {
        placement_request wanted = request(milliseconds(250));
        const placement_decision before = choose(wanted);
        wanted.share = room_share(1, 5, 0.99);
        const placement_decision after = choose(wanted);
        CHECK_TRUE(before.outcome == after.outcome);
        CHECK_EQUAL(before.engine, after.engine);
        STRCMP_EQUAL(before.reason, after.reason);
        if (before.outcome == placement_decision::verdict::place) {
            add(before.engine, tokens, gap, work_phase::decode);
        }
    }
}

TEST(burst_of_short_prompts_after_long_ones, hosts_with_room_place_all_prompts) {
    // Without long prompts all engines have room, and no prompt waits for a share.
    LONGS_EQUAL(45, placed_at_once(3, hosts, milliseconds(300)));
}

TEST(burst_of_short_prompts_after_long_ones, late_prompt_leaves_the_last_slots_to_prompts_in_time) {
    fill(10);
    CHECK_TRUE(choose(request(milliseconds(300))).outcome == placement_decision::verdict::place);
    const placement_decision late = choose(request(milliseconds(-100)));
    CHECK_TRUE(late.outcome == placement_decision::verdict::wait);
    CHECK_TRUE(late.answer_expected);
}

TEST(burst_of_short_prompts_after_long_ones, late_prompt_is_placed_while_engines_have_room) {
    fill(6);
    const placement_decision late = choose(request(milliseconds(-100)));
    CHECK_TRUE(late.outcome == placement_decision::verdict::place);
    STRCMP_EQUAL("late", late.reason);
}

TEST(burst_of_short_prompts_after_long_ones, caller_that_leaves_first_is_named_in_the_reason) {
    hold_all_but_one();
    add("engine-0", 260'000, {}, work_phase::prefill);
    placement_request wanted = request(milliseconds(297));
    wanted.abandon_time_left = milliseconds(500);
    STRCMP_EQUAL("no engine before the caller leaves", choose(wanted).reason);
}

TEST(burst_of_short_prompts_after_long_ones, late_prompts_of_several_hosts_use_different_engines) {
    fill(6);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 40; ++i) {
        placement_request late = request(milliseconds(-100));
        late.share = room_share(hosts, 0, 0.0);
        ++chosen[choose(late).engine];
    }
    CHECK_TRUE(chosen.size() >= 5);
}

/// Long prompts after short ones: all engines are idle, and the prompts need the memory of several.
TEST_GROUP_BASE(burst_of_long_prompts_after_short_ones,
                TEST_GROUP_CppUTestGroupburst_of_short_prompts_after_long_ones) {
    static constexpr std::size_t max_listed = 16;

    placement_request group_request() {
        placement_request result = request(seconds(4));
        result.prompt_tokens = 536'000;
        result.abandon_time_left = seconds(16);
        result.time_left = seconds(15);
        result.target_gap = seconds(1);
        return result;
    }
};

TEST(burst_of_long_prompts_after_short_ones, group_lists_no_more_reservations_than_engines_accept) {
    const placement_decision spread = choose(group_request());
    CHECK_TRUE(spread.outcome == placement_decision::verdict::place);
    STRCMP_EQUAL("group", spread.reason);
    CHECK_TRUE(spread.reserved_tokens > 0);
    CHECK_TRUE(spread.helpers.size() + 1 <= max_listed);
}
