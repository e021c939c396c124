#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiaquay {

/// Options of the `bench policies` command.
struct bench_options {
    std::vector<std::uint64_t> seeds{1, 2, 3, 4, 5};
    /// Names of profiles and variants; empty for all.
    std::vector<std::string> profiles;
    std::vector<std::string> variants;
    /// Number of concurrent runs.
    std::size_t threads = 4;
    /// Files to write; empty for none.
    std::string csv_path;
    std::string svg_path;
};

}  // namespace fuchsiaquay
