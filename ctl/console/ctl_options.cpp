#include "ctl/console/ctl_options.hpp"

#include <getopt.h>

#include <cstdlib>
#include <fstream>
#include <ostream>
#include <sstream>

namespace fuchsiaquay {
namespace {

constexpr int max_timeout_s = 600;

enum flag { node = 1, token_file, output, dry_run, timeout, help, other };

const option known_options[] = {{"node", required_argument, nullptr, flag::node},
                                {"token-file", required_argument, nullptr, flag::token_file},
                                {"output", required_argument, nullptr, flag::output},
                                {"dry-run", no_argument, nullptr, flag::dry_run},
                                {"timeout", required_argument, nullptr, flag::timeout},
                                {"help", no_argument, nullptr, flag::help},
                                {"revision", required_argument, nullptr, flag::other},
                                {"interval", required_argument, nullptr, flag::other},
                                {"count", required_argument, nullptr, flag::other},
                                {"customer", required_argument, nullptr, flag::other},
                                {"rank", required_argument, nullptr, flag::other},
                                {"model", required_argument, nullptr, flag::other},
                                {"service", required_argument, nullptr, flag::other},
                                {"prompt-tokens", required_argument, nullptr, flag::other},
                                {"max-tokens", required_argument, nullptr, flag::other},
                                {"seeds", required_argument, nullptr, flag::other},
                                {"profiles", required_argument, nullptr, flag::other},
                                {"variants", required_argument, nullptr, flag::other},
                                {"threads", required_argument, nullptr, flag::other},
                                {"csv", required_argument, nullptr, flag::other},
                                {"svg", required_argument, nullptr, flag::other},
                                {"engine", required_argument, nullptr, flag::other},
                                {"key", required_argument, nullptr, flag::other},
                                {"streams", required_argument, nullptr, flag::other},
                                {"rounds", required_argument, nullptr, flag::other},
                                {"prompt-bytes", required_argument, nullptr, flag::other},
                                {nullptr, 0, nullptr, 0}};

std::string environment(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

bool read_token(const std::string& path, std::string& token, std::ostream& err) {
    std::ifstream file(path);
    if (!(file >> token)) {
        err << "fuchsiaquayctl: cannot read a token from " << path << "\n";
        return false;
    }
    return true;
}

void read_environment(ctl_options& options) {
    if (options.nodes.empty()) {
        std::istringstream list(environment("FUCHSIAQUAY_NODES"));
        for (std::string part; std::getline(list, part, ',');) {
            options.nodes.push_back(part);
        }
    }
    if (options.token.empty()) {
        options.token = environment("FUCHSIAQUAY_TOKEN");
    }
}

bool apply_option(int found, int index, ctl_options& options, std::ostream& err) {
    const std::string text = optarg == nullptr ? "" : optarg;
    switch (found) {
        case flag::node:
            options.nodes.push_back(text);
            return true;
        case flag::token_file:
            return read_token(text, options.token, err);
        case flag::output:
            options.json = text == "json";
            if (text != "json" && text != "table") {
                err << "fuchsiaquayctl: --output must be table or json\n";
                return false;
            }
            return true;
        case flag::dry_run:
            options.dry_run = true;
            return true;
        case flag::timeout:
            options.timeout_s = std::atoi(text.c_str());
            if (options.timeout_s < 1 || options.timeout_s > max_timeout_s) {
                err << "fuchsiaquayctl: --timeout must be 1 to 600 seconds\n";
                return false;
            }
            return true;
        case flag::help:
            options.help = true;
            return true;
        case flag::other:
            options.values[known_options[index].name] = text;
            return true;
        default:
            return false;
    }
}

}  // namespace

bool parse_options(int argc, char** argv, ctl_options& options, std::ostream& err) {
    optind = 0;
    int index = 0;
    for (int found = 0; (found = getopt_long(argc, argv, "", known_options, &index)) != -1;) {
        if (!apply_option(found, index, options, err)) {
            return false;
        }
    }
    for (int i = optind; i < argc; ++i) {
        options.words.emplace_back(argv[i]);
    }
    read_environment(options);
    return true;
}

}  // namespace fuchsiaquay
