#include <iostream>
#include <sstream>

#include "core/error/step_error.hpp"
#include "ctl/bench/bench_policies.hpp"
#include "ctl/console/command_registry.hpp"
#include "ctl/console/ctl_options.hpp"
#include "ctl/console/http_admin_channel.hpp"

using namespace fuchsiaquay;

namespace {

std::vector<std::string> split(const std::string& list) {
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

exit_code bench(const console& at) {
    bench_options options;
    const std::vector<std::string> seeds = split(at.options.value("seeds", ""));
    if (!seeds.empty()) {
        options.seeds.clear();
    }
    for (const std::string& seed : seeds) {
        options.seeds.push_back(std::stoull(seed));
    }
    options.profiles = split(at.options.value("profiles", ""));
    options.variants = split(at.options.value("variants", ""));
    options.threads = std::stoul(at.options.value("threads", std::to_string(options.threads)));
    options.csv_path = at.options.value("csv", "");
    options.svg_path = at.options.value("svg", "");
    return static_cast<exit_code>(run_bench_policies(options, at.out));
}

}  // namespace

int main(int argc, char** argv) {
    ctl_options options;
    if (!parse_options(argc, argv, options, std::cerr)) {
        return static_cast<int>(exit_code::usage);
    }
    command_registry registry;
    add_contract_commands(registry);
    add_fleet_commands(registry);
    registry.add(
        {"bench", "", "measure the policies (--seeds --profiles --variants ...)", 0, bench});
    http_admin_channel channel(options.nodes, options.token, options.timeout_s);
    try {
        return static_cast<int>(registry.run(options, channel, std::cout, std::cerr));
    } catch (const std::exception& error) {
        std::cerr << "fuchsiaquayctl: " << error.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
}
