#include "ctl/bench/experiment.hpp"

// CppUTest redefines `new`, so standard library headers must be included first.
// clang-format off
#include "ctl/bench/result_queries.hpp"
#include "ctl/bench/workload.hpp"

#include <CppUTest/TestHarness.h>
// clang-format on

using namespace fuchsiaquay;

TEST_GROUP(experiment) {
    experiment_settings settings_;

    void setup() override {
        settings_.profile = sporebox_profile();
        settings_.scenario.length = std::chrono::seconds(40);
        settings_.scenario.warm_up = std::chrono::seconds(10);
        settings_.engine.report_every_token = false;
    }
};

TEST(experiment, equal_seeds_give_equal_runs) {
    const experiment_result first = run_experiment(settings_);
    const experiment_result second = run_experiment(settings_);
    LONGS_EQUAL(first.records.size(), second.records.size());
    for (std::size_t i = 0; i < first.records.size(); ++i) {
        CHECK_TRUE(first.records[i].ended == second.records[i].ended);
    }
}

TEST(experiment, overloaded_fleet_answers_in_time_and_loses_no_memory) {
    for (const auto order : {policy_variant::queue::fair_rank, policy_variant::queue::fifo}) {
        settings_.variant.order = order;
        settings_.scenario.scale = 4.0;
        const experiment_result result = run_experiment(settings_);
        LONGS_EQUAL(0, result.leaked_memory_tokens);
        for (const request_record& record : result.records) {
            CHECK_TRUE(record.outcome != request_record::result::pending);
            CHECK_TRUE(record.ended <= record.request.deadline + std::chrono::milliseconds(2));
        }
    }
}

TEST(experiment, short_prompts_hardly_notice_long_ones) {
    const auto is_short = [](const request_record& record) {
        return record.request.prompt_tokens <= long_prompt_tokens;
    };
    const experiment_result mix = run_experiment(settings_);
    const double with = first_token_quantile(mix, settings_.scenario, 0.95, is_short);
    settings_.variant.order = policy_variant::queue::fifo;
    settings_.variant.choice = policy_variant::selector::round_robin;
    const experiment_result baseline = run_experiment(settings_);
    // The baseline ignores prompt lengths and suffers the head-of-line blocking that the default
    // avoids.
    CHECK_TRUE(first_token_quantile(baseline, settings_.scenario, 0.95, is_short) > 2.0 * with);
}

TEST(experiment, left_out_long_prompts_change_no_other_request) {
    workload_scenario without = settings_.scenario;
    without.with_long_prompts = false;
    const auto fewer = generate_workload(settings_.profile, without, 7);
    const auto all = generate_workload(settings_.profile, settings_.scenario, 7);
    std::size_t next = 0;
    for (const workload_request& request : all) {
        if (request.prompt_tokens <= long_prompt_tokens) {
            CHECK_TRUE(fewer.at(next).arrival == request.arrival);
            LONGS_EQUAL(fewer.at(next).prompt_tokens, request.prompt_tokens);
            ++next;
        }
    }
    LONGS_EQUAL(fewer.size(), next);
}
