#include "ctl/bench/measure_policy.hpp"

#include <algorithm>
#include <limits>

#include "ctl/bench/experiment.hpp"
#include "ctl/bench/result_queries.hpp"
#include "ctl/bench/workload.hpp"

namespace fuchsiaquay {
namespace {

constexpr double flood_factor = 10.0;
constexpr double overload = 2.0;
/// Metrics that compare with a rate need a steady backlog of long prompts.
constexpr duration steady_length = std::chrono::seconds(480);
constexpr duration steady_warm_up = std::chrono::seconds(160);
/// One in this many refused requests is repeated with unlimited time at the owners.
constexpr std::size_t repeat_stride = 25;
constexpr std::size_t max_repeated = 40;
/// An answer may arrive this long after its deadline: the network latency between hosts.
constexpr duration late_tolerance = std::chrono::milliseconds(2);

bool is_short(const request_record& record) {
    return record.request.assistant && record.request.prompt_tokens <= long_prompt_tokens;
}

bool is_long(const request_record& record) {
    return record.request.prompt_tokens > long_prompt_tokens;
}

bool is_finished(const request_record& record) {
    return record.outcome == request_record::result::finished;
}

/// Runs all scenarios for one variant, profile and seed.
class measurement {
public:
    measurement(const policy_variant& variant, const workload_profile& profile, std::uint64_t seed)
        : variant_(variant), profile_(profile), seed_(seed) {}

    std::vector<double> run() {
        const experiment_result mix = run_scenario(scenario_);
        workload_scenario without_long = scenario_;
        without_long.with_long_prompts = false;
        const experiment_result alone = run_scenario(without_long);
        const double p95 = ratio(mix, alone, 0.95, is_short);
        const double p99 = ratio(mix, alone, 0.99, is_short);
        const double urgent = urgent_flood_ratio(mix);
        const double floors = floor_served();
        const auto [small_ratio, small_refused] = small_customers();
        const auto [useful, wrong] = overload_rows();
        const double long_share = record_share(mix, scenario_, is_long, is_finished);
        return {p95,   p99,    urgent, floors,     small_ratio,   small_refused,
                late_, useful, wrong,  long_share, leaked_memory_};
    }

private:
    experiment_result run_scenario(const workload_scenario& scenario,
                                   const std::set<std::size_t>& unlimited_time_requests = {}) {
        experiment_settings settings;
        settings.profile = profile_;
        settings.scenario = scenario;
        settings.variant = variant_;
        settings.seed = seed_;
        settings.unlimited_time_requests = unlimited_time_requests;
        settings.engine.report_every_token = false;
        experiment_result result = run_experiment(settings);
        for (const request_record& record : result.records) {
            const bool late = record.ended > record.request.deadline + late_tolerance;
            const bool pending = record.outcome == request_record::result::pending;
            late_ += late || pending ? 1.0 : 0.0;
        }
        leaked_memory_ += static_cast<double>(result.leaked_memory_tokens);
        return result;
    }

    double ratio(const experiment_result& with, const experiment_result& without, double quantile,
                 const record_filter& wanted) const {
        return first_token_quantile(with, scenario_, quantile, wanted) /
               first_token_quantile(without, scenario_, quantile, wanted);
    }

    double urgent_flood_ratio(const experiment_result& mix) {
        workload_scenario flood = scenario_;
        flood.flooded_level = static_cast<int>(profile_.ranks.size()) - 1;
        flood.level_factor = flood_factor;
        return ratio(run_scenario(flood), mix, 0.95, [](const request_record& record) {
            return is_short(record) && record.request.level == 0;
        });
    }

    double capacity() const {
        const engine_settings engine;
        const duration step = engine.step_base + engine.token_cost * engine.step_tokens;
        return static_cast<double>(engine.step_tokens) / to_seconds(step) *
               static_cast<double>(profile_.assistant_engines);
    }

    /// Least ratio, over the levels above 0, of the served load to the floor of the level or, where
    /// its demand is below the floor, to the demand.
    double floor_served() {
        workload_scenario flood = scenario_;
        flood.flooded_level = 0;
        flood.length = steady_length;
        flood.warm_up = steady_warm_up;
        flood.level_factor = flood_factor;
        const experiment_result result = run_scenario(flood);
        double least = std::numeric_limits<double>::infinity();
        for (std::size_t level = 1; level < profile_.ranks.size(); ++level) {
            const record_filter wanted = [level](const request_record& record) {
                return record.request.assistant && record.request.level == static_cast<int>(level);
            };
            double asked = 0.0;
            double finished = 0.0;
            for (const request_record& record : result.records) {
                if (wanted(record) && record.request.arrival >= instant(flood.warm_up)) {
                    asked += useful_tokens(record);
                    finished += is_finished(record) ? useful_tokens(record) : 0.0;
                }
            }
            const double seconds = to_seconds(flood.length - flood.warm_up);
            const double floor = profile_.ranks[level].floor_share * capacity();
            const double part = asked / seconds < floor
                                    ? finished / asked
                                    : served_tokens_per_second(result, flood, wanted) / floor;
            least = std::min(least, part);
        }
        return least;
    }

    std::pair<double, double> small_customers() {
        workload_scenario alone = scenario_;
        alone.first_customer_factor = 0.0;
        workload_scenario beside = scenario_;
        beside.first_customer_factor = flood_factor;
        const double largest = profile_.customers.front().weight;
        const record_filter small = [this, largest](const request_record& record) {
            return record.request.assistant &&
                   profile_.customers[record.request.customer].weight < largest;
        };
        const experiment_result crowded = run_scenario(beside);
        const double times = ratio(
            crowded, run_scenario(alone), 0.95,
            [&small](const request_record& record) { return small(record) && is_short(record); });
        const double refused =
            record_share(crowded, beside, small,
                         [](const request_record& record) { return !is_finished(record); });
        return {times, refused};
    }

    std::pair<double, double> overload_rows() {
        workload_scenario heavy = scenario_;
        heavy.scale = overload * capacity() / offered_tokens_per_second(profile_);
        heavy.length = steady_length;
        heavy.warm_up = steady_warm_up;
        const experiment_result result = run_scenario(heavy);
        const double served = served_tokens_per_second(
            result, heavy, [](const request_record& record) { return record.request.assistant; });
        return {served / capacity(), wrong_refusals(heavy, result)};
    }

    /// Repeats the run with some of the refused requests admitted regardless of their estimate.
    double wrong_refusals(const workload_scenario& scenario, const experiment_result& result) {
        std::vector<std::size_t> refused;
        for (const request_record& record : result.records) {
            const bool measured = record.request.arrival >= instant(scenario.warm_up);
            if (measured && record.outcome == request_record::result::refused) {
                refused.push_back(record.request.number);
            }
        }
        const std::size_t stride =
            std::max<std::size_t>(1, std::min(repeat_stride, refused.size() / max_repeated + 1));
        std::set<std::size_t> unlimited_time_requests;
        for (std::size_t i = 0; i < refused.size(); i += stride) {
            unlimited_time_requests.insert(refused[i]);
        }
        if (unlimited_time_requests.empty()) {
            return 0.0;
        }
        const experiment_result again = run_scenario(scenario, unlimited_time_requests);
        return record_share(
            again, scenario,
            [&unlimited_time_requests](const request_record& record) {
                return unlimited_time_requests.count(record.request.number) > 0;
            },
            is_finished);
    }

    policy_variant variant_;
    workload_profile profile_;
    std::uint64_t seed_;
    workload_scenario scenario_;
    double late_ = 0.0;
    double leaked_memory_ = 0.0;
};

}  // namespace

std::vector<double> measure_policy(const policy_variant& variant, const workload_profile& profile,
                                   std::uint64_t seed) {
    return measurement(variant, profile, seed).run();
}

}  // namespace fuchsiaquay
