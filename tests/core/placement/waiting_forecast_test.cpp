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
constexpr std::int64_t long_prompt = 210'000;
constexpr duration long_gap = milliseconds(800);
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
        request_.prompt_tokens = long_prompt;
        request_.target_gap = long_gap;
    }

    placement_candidate engine(int requests, duration min_target_gap, duration pending) const {
        placement_candidate candidate;
        candidate.engine = &view_;
        candidate.requests = requests;
        candidate.min_target_gap = min_target_gap;
        candidate.pending_prefill = pending;
        return candidate;
    }

    duration prefill(std::int64_t tokens) const {
        return prefill_time(profile_, tokens);
    }

    waiting_forecast::prediction prediction(const std::vector<placement_candidate>& engines) const {
        const auto result = forecast_.predict(request_, engines);
        CHECK_TRUE(result.has_value());
        return result.value_or(waiting_forecast::prediction{});
    }
};

TEST(waiting_forecast, idle_engine_starts_immediately) {
    const auto found = prediction({engine(0, duration::max(), {})});
    CHECK_TRUE(found.start == duration::zero());
    CHECK_TRUE(found.time_to_first_event == prefill(long_prompt));
    CHECK_TRUE(found.complete >= found.time_to_first_event + milliseconds(answer_tokens));
}

TEST(waiting_forecast, engine_in_prefill_becomes_available_after_its_answer) {
    const auto found = prediction({engine(1, long_gap, seconds(3))});
    CHECK_TRUE(found.start >= seconds(3) + milliseconds(answer_tokens));
}

TEST(waiting_forecast, prompts_ahead_delay_the_start) {
    request_.tokens_ahead = {long_prompt, long_prompt, long_prompt};
    const std::vector<placement_candidate> two(2, engine(0, duration::max(), {}));
    const duration prompt_time = prefill(long_prompt) + milliseconds(answer_tokens);
    // The first two prompts ahead use both engines, then the third one and this one do.
    CHECK_TRUE(prediction(two).start >= prompt_time);
    CHECK_TRUE(prediction(two).start < 2 * prompt_time);
}

TEST(waiting_forecast, prompt_ahead_that_needs_several_engines_occupies_them_all) {
    request_.tokens_ahead = {1'200'000};
    const std::vector<placement_candidate> three(3, engine(0, duration::max(), {}));
    CHECK_TRUE(prediction(three).start >= prefill(1'200'000) / 3);
}

TEST(waiting_forecast, prompt_larger_than_one_engine_waits_for_several_engines) {
    request_.prompt_tokens = 800'000;
    const auto found =
        prediction({engine(0, duration::max(), {}), engine(1, long_gap, seconds(4))});
    CHECK_TRUE(found.start >= seconds(4));
    CHECK_TRUE(found.time_to_first_event >= found.start + prefill(800'000) / 2);
}

TEST(waiting_forecast, engines_full_of_short_streams_are_not_available) {
    const auto found = prediction(
        {engine(12, short_gap, {}), engine(12, short_gap, {}), engine(1, long_gap, seconds(6))});
    CHECK_TRUE(found.start >= seconds(6));
}

TEST(waiting_forecast, engines_not_needed_by_short_streams_are_available) {
    const auto found = prediction(
        {engine(3, short_gap, {}), engine(3, short_gap, {}), engine(1, long_gap, seconds(6))});
    CHECK_TRUE(found.start < seconds(3));
}

TEST(waiting_forecast, prompt_larger_than_all_memory_has_no_prediction) {
    request_.prompt_tokens = 900'000;
    CHECK_FALSE(forecast_.predict(request_, {engine(0, duration::max(), {})}).has_value());
    CHECK_FALSE(forecast_.predict(request_, {}).has_value());
}
