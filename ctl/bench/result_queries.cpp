#include "ctl/bench/result_queries.hpp"

#include <algorithm>
#include <limits>

namespace fuchsiaquay {
namespace {

bool is_measured(const request_record& record, const workload_scenario& scenario) {
    return record.request.arrival >= instant(scenario.warm_up);
}

}  // namespace

double first_token_quantile(const experiment_result& result, const workload_scenario& scenario,
                            double quantile, const record_filter& filter) {
    std::vector<duration> times;
    for (const request_record& record : result.records) {
        if (is_measured(record, scenario) && filter(record) &&
            record.first_token != duration::max()) {
            times.push_back(record.first_token);
        }
    }
    if (times.empty()) {
        return std::numeric_limits<double>::infinity();
    }
    std::sort(times.begin(), times.end());
    const auto place = static_cast<std::size_t>(quantile * static_cast<double>(times.size()));
    return to_seconds(times[std::min(place, times.size() - 1)]);
}

double useful_tokens(const request_record& record) {
    return static_cast<double>(record.request.prompt_tokens + record.request.output_tokens -
                               record.cached_tokens);
}

double served_tokens_per_second(const experiment_result& result, const workload_scenario& scenario,
                                const record_filter& filter) {
    double tokens = 0.0;
    for (const request_record& record : result.records) {
        const instant ended = record.request.arrival + record.ended;
        const bool inside = ended >= instant(scenario.warm_up) && ended < instant(scenario.length);
        if (record.outcome == request_record::result::finished && inside && filter(record)) {
            tokens += useful_tokens(record);
        }
    }
    return tokens / to_seconds(scenario.length - scenario.warm_up);
}

double record_share(const experiment_result& result, const workload_scenario& scenario,
                    const record_filter& filter, const record_filter& is_hit) {
    std::size_t all = 0;
    std::size_t hits = 0;
    for (const request_record& record : result.records) {
        if (is_measured(record, scenario) && filter(record)) {
            ++all;
            hits += is_hit(record) ? 1 : 0;
        }
    }
    return all == 0 ? 0.0 : static_cast<double>(hits) / static_cast<double>(all);
}

}  // namespace fuchsiaquay
