#include "core/placement/data_centre_preference.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/placement/engine_load.hpp"
#include "core/placement/engine_work.hpp"
#include "core/placement/interference_aware_placement.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_candidate.hpp"
#include "core/placement/placement_request.hpp"
#include "tests/core/placement/engine_profiles.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration short_target = milliseconds(250);
constexpr double on_time = 0.85;
constexpr int engines_per_data_centre = 4;

placement_request prompt(std::uint64_t key, std::int64_t tokens, duration target, duration gap) {
    placement_request request;
    request.key = key;
    request.prompt_tokens = tokens;
    request.answer_tokens = 1'300;
    request.first_event_time_left = target;
    request.time_left = seconds(10);
    request.target_gap = gap;
    return request;
}

placement_request short_request(std::uint64_t key) {
    return prompt(key, 5'000, short_target, milliseconds(250));
}

placement_request long_request(std::uint64_t key, std::int64_t tokens) {
    return prompt(key, tokens, milliseconds(1'500), milliseconds(600));
}

}  // namespace

/// A host in the data centre `home` of three with four engines each.
TEST_GROUP(data_centre_preference) {
    const std::vector<std::string> data_centres_ = {"far", "home", "near"};
    engine_profile profile_ = narrow_engine_profile();
    std::map<std::string, engine_load> loads_;
    std::map<std::string, const std::string*> homes_;
    interference_aware_placement placement_;
    data_centre_preference policy_{placement_, "home"};
    instant now_ = instant(seconds(100));

    void setup() override {
        for (const std::string& data_centre : data_centres_) {
            for (int i = 0; i < engines_per_data_centre; ++i) {
                const std::string id = data_centre + "-" + std::to_string(i);
                loads_[id];
                homes_[id] = &data_centre;
            }
        }
    }
    std::vector<engine_view> views(const std::set<std::string>& evacuated = {}) const {
        std::vector<engine_view> result;
        for (const auto& [id, load] : loads_) {
            if (evacuated.count(*homes_.at(id)) == 0) {
                result.push_back({id, &profile_, &load, 1.0, homes_.at(id)});
            }
        }
        return result;
    }
    std::string data_centre_of(const placement_decision& decision) const {
        return decision.engine.empty() ? "" : *homes_.at(decision.engine);
    }
    std::set<std::string> data_centres_of(const placement_decision& decision) const {
        std::set<std::string> result = {data_centre_of(decision)};
        for (const placement_part& part : decision.helpers) {
            result.insert(*homes_.at(part.engine));
        }
        return result;
    }
    void add(const std::string& engine, const placement_request& request, work_phase phase) {
        engine_work work;
        work.key = request.key;
        work.engine = engine;
        work.phase = phase;
        work.prefill_tokens = request.prompt_tokens;
        work.prefill_time = prefill_time(profile_, request.prompt_tokens);
        work.memory_tokens = request.prompt_tokens + request.answer_tokens;
        work.target_gap = request.target_gap;
        work.dispatched_at = now_;
        loads_[engine].apply("host", work);
    }
    void end(const std::string& engine, std::uint64_t key) {
        engine_work work;
        work.key = key;
        work.engine = engine;
        work.phase = work_phase::ended;
        loads_[engine].apply("host", work);
    }
    /// Takes all slots of the own engines, and returns the keys that do so.
    void fill_home() {
        std::uint64_t key = 10'000;
        for (int i = 0; i < engines_per_data_centre; ++i) {
            for (int slot = 0; slot < profile_.slots; ++slot) {
                add("home-" + std::to_string(i), short_request(++key), work_phase::decode);
            }
        }
    }
};

/// Load: own engines enough.
TEST(data_centre_preference, nothing_leaves_while_own_engines_are_enough) {
    for (std::uint64_t key = 1; key <= 30; ++key) {
        const placement_decision decision = policy_.choose(short_request(key), views(), now_);
        CHECK_EQUAL(std::string("home"), data_centre_of(decision));
        add(decision.engine, short_request(key), work_phase::decode);
    }
}

TEST(data_centre_preference, long_prompt_and_its_helpers_stay_on_idle_own_engines) {
    const placement_decision decision = policy_.choose(long_request(1, 60'000), views(), now_);
    CHECK_TRUE(data_centres_of(decision) == std::set<std::string>{"home"});
}

/// Load: own engines too few for some seconds.
TEST(data_centre_preference, no_request_is_late_to_stay_at_home) {
    int home = 0;
    int away = 0;
    for (std::uint64_t key = 1; key <= 90; ++key) {
        const placement_decision any = placement_.choose(short_request(key), views(), now_);
        const placement_decision decision = policy_.choose(short_request(key), views(), now_);
        CHECK_TRUE(decision.outcome == any.outcome);
        if (any.time_to_first_event <= scaled(short_target, on_time)) {
            CHECK_TRUE(decision.time_to_first_event <= scaled(short_target, on_time));
        }
        ++(data_centre_of(decision) == "home" ? home : away);
        add(decision.engine, short_request(key), work_phase::decode);
    }
    CHECK_TRUE(home >= 30);
    CHECK_TRUE(away >= 30);
}

TEST(data_centre_preference, requests_return_when_own_engines_have_room_to_spare) {
    fill_home();
    const placement_decision away = policy_.choose(short_request(1), views(), now_);
    CHECK_TRUE(data_centre_of(away) != "home");
    for (std::uint64_t key = 10'001; key <= 10'024; ++key) {
        end("home-" + std::to_string((key - 10'001) / 12), key);
    }
    const placement_decision back = policy_.choose(short_request(2), views(), now_);
    CHECK_EQUAL(std::string("home"), data_centre_of(back));
}

TEST(data_centre_preference, load_around_the_limit_does_not_alternate) {
    data_centre_preference_settings settings;
    // Between both limits: an engine that reads a prompt answers a little later.
    settings.short_leave = 0.6;
    settings.short_return = 0.2;
    settings.long_leave = 0.6;
    settings.long_return = 0.2;
    data_centre_preference policy(placement_, "home", settings);
    const placement_decision before = policy.choose(short_request(1), views(), now_);
    CHECK_EQUAL(std::string("home"), data_centre_of(before));
    fill_home();
    CHECK_TRUE(data_centre_of(policy.choose(short_request(2), views(), now_)) != "home");
    // Slots are free again, but each own engine still reads a prompt.
    for (int i = 0; i < engines_per_data_centre; ++i) {
        for (std::uint64_t slot = 1; slot <= 8; ++slot) {
            end("home-" + std::to_string(i), 10'000 + static_cast<std::uint64_t>(i) * 12 + slot);
        }
        add("home-" + std::to_string(i), short_request(20'000 + static_cast<std::uint64_t>(i)),
            work_phase::prefill);
    }
    const placement_decision own =
        placement_.choose(short_request(3), views({"near", "far"}), now_);
    CHECK_TRUE(own.time_to_first_event > scaled(short_target, settings.short_return));
    CHECK_TRUE(own.time_to_first_event <= scaled(short_target, settings.short_leave));
    // The same load: what has left stays away, what has not left stays at home.
    const data_centre_preference stayed(placement_, "home", settings);
    CHECK_TRUE(data_centre_of(policy.choose(short_request(3), views(), now_)) != "home");
    CHECK_EQUAL(std::string("home"),
                data_centre_of(stayed.choose(short_request(3), views(), now_)));
}

TEST(data_centre_preference, parts_of_a_prompt_do_not_cross_data_centres_if_one_is_enough) {
    fill_home();
    const placement_request request = prompt(1, 500'000, seconds(8), milliseconds(1'000));
    const placement_decision decision = policy_.choose(request, views(), now_);
    CHECK_TRUE(decision.outcome == placement_decision::verdict::place);
    CHECK_FALSE(decision.helpers.empty());
    LONGS_EQUAL(1, data_centres_of(decision).size());
    LONGS_EQUAL(0, data_centres_of(decision).count("home"));
}

/// Load: one data centre evacuated.
TEST(data_centre_preference, evacuated_home_leaves_the_choice_to_the_placement) {
    const std::vector<engine_view> rest = views({"home"});
    for (std::uint64_t key = 1; key <= 60; ++key) {
        const placement_decision any = placement_.choose(short_request(key), rest, now_);
        const placement_decision decision = policy_.choose(short_request(key), rest, now_);
        CHECK_EQUAL(any.engine, decision.engine);
        add(decision.engine, short_request(key), work_phase::decode);
    }
}

TEST(data_centre_preference, callers_of_an_evacuated_data_centre_take_part_of_the_own_engines) {
    for (std::uint64_t key = 1; key <= 80; ++key) {
        const placement_decision any = placement_.choose(short_request(key), views({"far"}), now_);
        const placement_decision decision =
            policy_.choose(short_request(key), views({"far"}), now_);
        CHECK_TRUE(decision.outcome == any.outcome);
        CHECK_TRUE(data_centre_of(decision) != "far");
        if (decision.outcome == placement_decision::verdict::place) {
            add(decision.engine, short_request(key), work_phase::decode);
        }
    }
}

TEST(data_centre_preference, engines_of_unknown_data_centres_are_placed_as_before) {
    std::vector<engine_view> engines = views();
    for (engine_view& engine : engines) {
        engine.data_centre = nullptr;
    }
    for (std::uint64_t key = 1; key <= 20; ++key) {
        CHECK_EQUAL(placement_.choose(short_request(key), engines, now_).engine,
                    policy_.choose(short_request(key), engines, now_).engine);
    }
}

TEST(data_centre_preference, plain_request_leaves_only_if_it_would_wait) {
    CHECK_TRUE(stays_in_data_centre(5, 0, 6));
    CHECK_FALSE(stays_in_data_centre(6, 5, 6));
    CHECK_TRUE(stays_in_data_centre(7, 7, 6));
}
