#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiaquay {

/// Values of one variant on one profile: one list for each seed, in the order of
/// `policy_metrics()`.
struct policy_result {
    std::string profile;
    std::string variant;
    std::vector<std::uint64_t> seeds;
    std::vector<std::vector<double>> values;

    double median(std::size_t measure) const;
    double minimum(std::size_t measure) const;
    double maximum(std::size_t measure) const;
};

}  // namespace fuchsiaquay
