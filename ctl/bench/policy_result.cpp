#include "ctl/bench/policy_result.hpp"

#include <algorithm>

namespace fuchsiaquay {
namespace {

std::vector<double> sorted_values(const policy_result& result, std::size_t measure) {
    std::vector<double> sorted;
    for (const std::vector<double>& of_seed : result.values) {
        sorted.push_back(of_seed.at(measure));
    }
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

}  // namespace

double policy_result::median(std::size_t measure) const {
    const std::vector<double> sorted = sorted_values(*this, measure);
    const std::size_t middle = sorted.size() / 2;
    return sorted.size() % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2.0;
}

double policy_result::minimum(std::size_t measure) const {
    return sorted_values(*this, measure).front();
}

double policy_result::maximum(std::size_t measure) const {
    return sorted_values(*this, measure).back();
}

}  // namespace fuchsiaquay
