#include "ctl/bench/workload.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>

namespace fuchsiaquay {
namespace {

/// Prompt lengths are log-uniform inside a class.
struct length_class {
    std::int64_t shortest = 0;
    std::int64_t longest = 0;
    /// Fraction of all prompts; 1 in 50 has more than 100,000 tokens.
    double share = 0.0;
};

constexpr std::array<length_class, 4> length_classes{{{1'000, 8'000, 0.90},
                                                      {8'000, 32'000, 0.07},
                                                      {33'000, 100'000, 0.01},
                                                      {100'000, 1'000'000, 0.02}}};
constexpr std::size_t first_long_class = 2;
constexpr length_class ordering_lengths{1'000, 4'000, 1.0};

/// Share of the prompts from 33,000 to 100,000 tokens that belongs to the level before the last.
/// The rest of them and all longer prompts belong to the last level.
constexpr double middle_level_share = 0.5;
/// Fraction of the prompts that start with one of the shared prefixes of their customer.
constexpr double shared_prefix_share = 0.6;
constexpr std::uint64_t prefixes_per_customer = 3;
constexpr std::uint64_t prefix_blocks = 1;
constexpr std::int64_t min_shared_prompt_tokens = 1'536;
/// Spread of the answer lengths, and the callers' token limit as a multiple of the mean length.
constexpr double output_sigma = 0.5;
constexpr double max_tokens_factor = 2.0;
constexpr std::int64_t max_output_tokens = 1'000;

double mean_length(const length_class& lengths) {
    const auto shortest = static_cast<double>(lengths.shortest);
    const auto longest = static_cast<double>(lengths.longest);
    return (longest - shortest) / std::log(longest / shortest);
}

/// Fraction of the prompts of a length class that belongs to a level.
double level_share(const workload_profile& profile, std::size_t length_index, std::size_t level) {
    const std::size_t last = profile.ranks.size() - 1;
    if (length_index < first_long_class) {
        return profile.ranks[level].traffic_share;
    }
    if (length_index > first_long_class) {
        return level == last ? 1.0 : 0.0;
    }
    return level == last ? 1.0 - middle_level_share
                         : (level + 1 == last ? middle_level_share : 0.0);
}

/// Source of the requests of one customer, level and length class.
struct request_source {
    std::size_t customer = 0;
    std::size_t level = 0;
    bool assistant = true;
    length_class lengths;
    double rate = 0.0;
    std::uint64_t seed = 0;
};

workload_request draw_request(const workload_profile& profile, const request_source& source,
                              std::mt19937_64& random) {
    workload_request request;
    request.customer = source.customer;
    request.level = static_cast<int>(source.level);
    request.assistant = source.assistant;
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    const auto shortest = static_cast<double>(source.lengths.shortest);
    const double ratio = static_cast<double>(source.lengths.longest) / shortest;
    request.prompt_tokens = std::llround(shortest * std::pow(ratio, uniform(random)));
    std::lognormal_distribution<double> output(
        std::log(profile.mean_output_tokens) - output_sigma * output_sigma / 2.0, output_sigma);
    request.output_tokens =
        std::clamp<std::int64_t>(std::llround(output(random)), 5, max_output_tokens);
    request.max_tokens = std::max<std::int64_t>(
        request.output_tokens, std::llround(profile.mean_output_tokens * max_tokens_factor));
    const workload_rank& rank = profile.ranks[source.level];
    request.deadline =
        request.prompt_tokens > long_prompt_tokens ? rank.long_deadline : rank.deadline;
    const bool shares =
        uniform(random) < shared_prefix_share && request.prompt_tokens >= min_shared_prompt_tokens;
    const std::uint64_t prefix = random() % prefixes_per_customer;
    if (shares) {
        const std::uint64_t base =
            (source.customer + 1) * 1'000'000 + prefix * 1'000 + (source.assistant ? 0 : 500);
        for (std::uint64_t block = 0; block < prefix_blocks; ++block) {
            request.prefix_hashes.push_back(base + block);
        }
    }
    return request;
}

std::vector<request_source> list_sources(const workload_profile& profile,
                                         const workload_scenario& scenario, std::uint64_t seed) {
    const double weights = std::accumulate(
        profile.customers.begin(), profile.customers.end(), 0.0,
        [](double sum, const workload_customer& each) { return sum + each.weight; });
    std::vector<request_source> sources;
    std::uint64_t stream = seed * 1'000'003;
    for (std::size_t customer = 0; customer < profile.customers.size(); ++customer) {
        const double part = profile.customers[customer].weight / weights * scenario.scale *
                            (customer == 0 ? scenario.first_customer_factor : 1.0);
        for (std::size_t level = 0; level < profile.ranks.size(); ++level) {
            const double factor =
                static_cast<int>(level) == scenario.flooded_level ? scenario.level_factor : 1.0;
            for (std::size_t i = 0; i < length_classes.size(); ++i) {
                const double rate = profile.assistant_rate * part * factor *
                                    length_classes[i].share * level_share(profile, i, level);
                ++stream;
                if (i < first_long_class || scenario.with_long_prompts) {
                    sources.push_back({customer, level, true, length_classes[i], rate, stream});
                }
            }
            const double rate =
                profile.ordering_rate * part * factor * profile.ranks[level].traffic_share;
            sources.push_back({customer, level, false, ordering_lengths, rate, ++stream});
        }
    }
    return sources;
}

}  // namespace

std::vector<workload_request> generate_workload(const workload_profile& profile,
                                                const workload_scenario& scenario,
                                                std::uint64_t seed) {
    std::vector<workload_request> requests;
    for (const request_source& source : list_sources(profile, scenario, seed)) {
        if (source.rate <= 0.0) {
            continue;
        }
        std::mt19937_64 random(source.seed);
        std::exponential_distribution<double> gap(source.rate);
        instant at = instant{} + from_seconds(gap(random));
        while (at < instant(scenario.length)) {
            workload_request request = draw_request(profile, source, random);
            request.arrival = at;
            requests.push_back(request);
            at += from_seconds(gap(random));
        }
    }
    std::stable_sort(
        requests.begin(), requests.end(),
        [](const workload_request& a, const workload_request& b) { return a.arrival < b.arrival; });
    for (std::size_t i = 0; i < requests.size(); ++i) {
        requests[i].number = i;
    }
    return requests;
}

double offered_tokens_per_second(const workload_profile& profile) {
    double tokens = profile.mean_output_tokens;
    for (const length_class& lengths : length_classes) {
        tokens += lengths.share * mean_length(lengths);
    }
    return tokens * profile.assistant_rate;
}

}  // namespace fuchsiaquay
