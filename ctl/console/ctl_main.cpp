#include <iostream>
#include <sstream>

#include "core/error/operation_error.hpp"
#include "ctl/bench/bench_policies.hpp"
#include "ctl/console/command_registry.hpp"
#include "ctl/console/ctl_options.hpp"
#include "ctl/console/http_admin_channel.hpp"
#include "ctl/load/node_bench.hpp"
#include "ctl/load/node_bench_options.hpp"

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

exit_code bench(const command_context& context) {
    bench_options options;
    const std::vector<std::string> seeds = split(context.options.value("seeds", ""));
    if (!seeds.empty()) {
        options.seeds.clear();
    }
    for (const std::string& seed : seeds) {
        options.seeds.push_back(std::stoull(seed));
    }
    options.profiles = split(context.options.value("profiles", ""));
    options.variants = split(context.options.value("variants", ""));
    options.threads = std::stoul(context.options.value("threads", std::to_string(options.threads)));
    options.csv_path = context.options.value("csv", "");
    options.svg_path = context.options.value("svg", "");
    return static_cast<exit_code>(run_bench_policies(options, context.out));
}

exit_code bench_node(const command_context& context) {
    node_bench_options options;
    options.node_uri = context.options.nodes.empty() ? "" : context.options.nodes.front();
    options.engine_uri = context.options.value("engine", "");
    options.caller_key = context.options.value("key", "");
    options.model = context.options.value("model", options.model);
    options.streams = std::stoi(context.options.value("streams", std::to_string(options.streams)));
    options.rounds = std::stoi(context.options.value("rounds", std::to_string(options.rounds)));
    options.max_tokens =
        std::stoi(context.options.value("max-tokens", std::to_string(options.max_tokens)));
    options.prompt_bytes =
        std::stoi(context.options.value("prompt-bytes", std::to_string(options.prompt_bytes)));
    if (options.node_uri.empty() || options.engine_uri.empty()) {
        context.err << "bench-node: --node and --engine are required\n";
        return exit_code::usage;
    }
    return static_cast<exit_code>(run_node_bench(options, context.out));
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
    add_request_commands(registry);
    registry.add(
        {"bench", "", "measure the policies (--seeds --profiles --variants ...)", 0, bench});
    registry.add(
        {"bench-node", "", "stream through a node and directly from its engine", 0, bench_node});
    http_admin_channel channel(options.nodes, options.token, options.timeout_s);
    try {
        return static_cast<int>(registry.run(options, channel, std::cout, std::cerr));
    } catch (const std::exception& error) {
        std::cerr << "fuchsiaquayctl: " << error.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
}
