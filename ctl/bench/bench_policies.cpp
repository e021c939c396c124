#include "ctl/bench/bench_policies.hpp"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <ostream>
#include <thread>

#include "ctl/bench/measure_policy.hpp"
#include "ctl/bench/policy_metric.hpp"
#include "ctl/bench/policy_report.hpp"

namespace fuchsiaquay {
namespace {

using selector = policy_variant::selector;
using queue = policy_variant::queue;

const std::vector<policy_variant>& all_variants() {
    static const std::vector<policy_variant> variants{
        {"fuchsiaquay", selector::length_aware, queue::fair_rank},
        {"round_robin", selector::round_robin, queue::fifo},
        {"least_requests", selector::least_requests, queue::fifo},
        {"least_tokens", selector::least_tokens, queue::fifo},
        {"affinity_load", selector::affinity_load, queue::fifo},
        {"layered", selector::length_aware, queue::layered},
    };
    return variants;
}

bool is_chosen(const std::vector<std::string>& chosen, const std::string& name) {
    return chosen.empty() || std::find(chosen.begin(), chosen.end(), name) != chosen.end();
}

/// One run and the destination of its values.
struct bench_job {
    policy_variant variant;
    workload_profile profile;
    std::uint64_t seed = 0;
    std::vector<double>* values = nullptr;
};

void run_jobs(const std::vector<bench_job>& jobs, std::size_t threads) {
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < std::max<std::size_t>(threads, 1); ++i) {
        workers.emplace_back([&jobs, &next] {
            for (std::size_t job = next++; job < jobs.size(); job = next++) {
                *jobs[job].values =
                    measure_policy(jobs[job].variant, jobs[job].profile, jobs[job].seed);
            }
        });
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
}

bool meets_all(const policy_result& result) {
    const std::vector<policy_metric>& rows = policy_metrics();
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (!rows[i].meets_target(result.median(i))) {
            return false;
        }
    }
    return true;
}

}  // namespace

std::vector<policy_result> measure_policies(const bench_options& options) {
    std::vector<policy_result> results;
    std::vector<std::pair<policy_variant, workload_profile>> settings;
    for (const workload_profile& profile : {sporebox_profile(), regie_profile()}) {
        for (const policy_variant& variant : all_variants()) {
            if (is_chosen(options.profiles, profile.name) &&
                is_chosen(options.variants, variant.name)) {
                policy_result result{profile.name, variant.name, options.seeds, {}};
                result.values.resize(options.seeds.size());
                results.push_back(result);
                settings.emplace_back(variant, profile);
            }
        }
    }
    std::vector<bench_job> jobs;
    for (std::size_t i = 0; i < results.size(); ++i) {
        for (std::size_t seed = 0; seed < options.seeds.size(); ++seed) {
            jobs.push_back(bench_job{settings[i].first, settings[i].second, options.seeds[seed],
                                     &results[i].values[seed]});
        }
    }
    run_jobs(jobs, options.threads);
    return results;
}

int run_bench_policies(const bench_options& options, std::ostream& out) {
    const std::vector<policy_result> results = measure_policies(options);
    if (results.empty() || options.seeds.empty()) {
        out << "no such profile, variant or seed\n";
        return 2;
    }
    out << "seeds:";
    for (const std::uint64_t seed : options.seeds) {
        out << " " << seed;
    }
    out << "; median [least..greatest] over the seeds\n";
    write_policy_table(out, results);
    if (!options.csv_path.empty()) {
        std::ofstream file(options.csv_path);
        write_policy_csv(file, results);
        if (!file) {
            out << "cannot write " << options.csv_path << "\n";
            return 2;
        }
    }
    if (!options.svg_path.empty()) {
        std::ofstream file(options.svg_path);
        write_policy_svg(file, results);
        if (!file) {
            out << "cannot write " << options.svg_path << "\n";
            return 2;
        }
    }
    for (const policy_result& result : results) {
        if (result.variant == results.front().variant && !meets_all(result)) {
            return 1;
        }
    }
    return 0;
}

}  // namespace fuchsiaquay
