#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

#include "ctl/bench/bench_policies.hpp"

using fuchsiaquay::bench_options;

namespace {

constexpr const char* usage =
    "usage: fuchsiaquay_bench_policies [--seeds 1,2,3,4,5] [--profiles sporebox,regie]\n"
    "         [--variants fuchsiaquay,round_robin,...] [--threads N] [--csv FILE] [--svg FILE]\n";

std::vector<std::string> split(const std::string& list) {
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

std::vector<std::uint64_t> split_numbers(const std::string& list) {
    std::vector<std::uint64_t> numbers;
    for (const std::string& part : split(list)) {
        numbers.push_back(std::stoull(part));
    }
    return numbers;
}

}  // namespace

int main(int argc, char** argv) {
    const option known[] = {{"seeds", required_argument, nullptr, 's'},
                            {"profiles", required_argument, nullptr, 'p'},
                            {"variants", required_argument, nullptr, 'v'},
                            {"threads", required_argument, nullptr, 't'},
                            {"csv", required_argument, nullptr, 'c'},
                            {"svg", required_argument, nullptr, 'g'},
                            {nullptr, 0, nullptr, 0}};
    bench_options options;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
        switch (flag) {
            case 's':
                options.seeds = split_numbers(optarg);
                break;
            case 'p':
                options.profiles = split(optarg);
                break;
            case 'v':
                options.variants = split(optarg);
                break;
            case 't':
                options.threads = std::stoul(optarg);
                break;
            case 'c':
                options.csv_path = optarg;
                break;
            case 'g':
                options.svg_path = optarg;
                break;
            default:
                std::cerr << usage;
                return EXIT_FAILURE;
        }
    }
    return fuchsiaquay::run_bench_policies(options, std::cout);
}
