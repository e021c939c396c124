#include "core/placement/waiting_forecast.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "core/fleet/engine_profile.hpp"
#include "core/placement/engine_load.hpp"
#include "core/placement/engine_view.hpp"
#include "core/placement/pass_timing.hpp"
#include "core/placement/placement_request.hpp"

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr std::int64_t season_prompt = 210'000;
constexpr duration season_gap = milliseconds(800);
constexpr duration short_gap = milliseconds(200);
constexpr std::int64_t answer_tokens = 1'000;
}  // namespace

TEST_GROUP(waiting_forecast) {
    engine_profile profile_;
    engine_view view_{"engine", &profile_, nullptr, 1.0};
    placement_request request_;
    waiting_forecast forecast_{interference_aware_settings()};

    void setup() override {
        profile_.slots = 16;
        profile_.memory_tokens = 450'000;
        profile_.steps_per_pass = 50;
        profile_.step_ms = 1.0;
        profile_.read_tokens_per_second = 256'000;
        profile_.read_ms_per_million_pairs = 0.0917;
        profile_.usual_answer_tokens = answer_tokens;
        request_.prompt_tokens = season_prompt;
        request_.target_gap = season_gap;
    }

    placement_candidate engine(int requests, duration min_target_gap, duration pending) const {
        placement_candidate item;
        item.engine = &view_;
        item.requests = requests;
        item.min_target_gap = min_target_gap;
        item.pending_prefill = pending;
        return item;
    }

    duration reading(std::int64_t tokens) const {
        return prefill_time(profile_, tokens);
    }

    waiting_forecast::prediction prediction(const std::vector<placement_candidate>& engines) const {
        const auto result = forecast_.predict(request_, engines);
        CHECK_TRUE(result.has_value());
        return result.value_or(waiting_forecast::prediction{});
    }
};

TEST(waiting_forecast, idle_engine_starts_at_once) {
    const auto found = prediction({engine(0, duration::max(), {})});
    CHECK_TRUE(found.start == duration::zero());
    CHECK_TRUE(found.time_to_first_event == reading(season_prompt));
    CHECK_TRUE(found.complete >= found.time_to_first_event + milliseconds(answer_tokens));
}

TEST(waiting_forecast, reading_engine_comes_free_after_its_answer) {
    const auto found = prediction({engine(1, season_gap, seconds(3))});
    CHECK_TRUE(found.start >= seconds(3) + milliseconds(answer_tokens));
}

TEST(waiting_forecast, each_prompt_ahead_takes_its_time) {
    request_.tokens_ahead = {season_prompt, season_prompt, season_prompt};
    const std::vector<placement_candidate> two(2, engine(0, duration::max(), {}));
    const duration turn = reading(season_prompt) + milliseconds(answer_tokens);
    // Two read at once, then the third one and this.
    CHECK_TRUE(prediction(two).start >= turn);
    CHECK_TRUE(prediction(two).start < 2 * turn);
}

TEST(waiting_forecast, prompt_ahead_that_needs_several_engines_takes_them_all) {
    request_.tokens_ahead = {1'200'000};
    const std::vector<placement_candidate> three(3, engine(0, duration::max(), {}));
    CHECK_TRUE(prediction(three).start >= reading(1'200'000) / 3);
}

TEST(waiting_forecast, prompt_beyond_one_memory_waits_for_several_engines) {
    request_.prompt_tokens = 800'000;
    const auto found =
        prediction({engine(0, duration::max(), {}), engine(1, season_gap, seconds(4))});
    CHECK_TRUE(found.start >= seconds(4));
    CHECK_TRUE(found.time_to_first_event >= found.start + reading(800'000) / 2);
}

TEST(waiting_forecast, engines_full_of_short_streams_are_not_counted_on) {
    const auto found = prediction(
        {engine(12, short_gap, {}), engine(12, short_gap, {}), engine(1, season_gap, seconds(6))});
    CHECK_TRUE(found.start >= seconds(6));
}

TEST(waiting_forecast, short_streams_that_fit_fewer_engines_free_the_others) {
    const auto found = prediction(
        {engine(3, short_gap, {}), engine(3, short_gap, {}), engine(1, season_gap, seconds(6))});
    CHECK_TRUE(found.start < seconds(3));
}

TEST(waiting_forecast, prompt_beyond_the_memory_of_all_engines_has_no_outlook) {
    request_.prompt_tokens = 900'000;
    CHECK_FALSE(forecast_.predict(request_, {engine(0, duration::max(), {})}).has_value());
    CHECK_FALSE(forecast_.predict(request_, {}).has_value());
}
