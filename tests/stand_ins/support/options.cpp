#include "tests/stand_ins/support/options.hpp"

#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <vector>

namespace fuchsiaquay::stand_ins {

namespace {
constexpr int usage_exit_code = 2;
}

options::options(std::map<std::string, std::string> defaults) : values_(std::move(defaults)) {}

void options::parse(int argc, char** argv) {
    std::vector<option> known;
    for (const auto& [name, value] : values_) {
        known.push_back(option{name.c_str(), required_argument, nullptr, 0});
    }
    known.push_back(option{nullptr, 0, nullptr, 0});
    for (;;) {
        int index = 0;
        const int result = getopt_long(argc, argv, "", known.data(), &index);
        if (result == -1) {
            return;
        }
        if (result != 0) {
            std::exit(usage_exit_code);
        }
        values_[known[static_cast<std::size_t>(index)].name] = optarg;
    }
}

std::string options::text(const std::string& name) const {
    return values_.at(name);
}

std::int64_t options::number(const std::string& name) const {
    const std::string& value = values_.at(name);
    char* end = nullptr;
    const std::int64_t parsed = std::strtoll(value.c_str(), &end, 10);
    if (value.empty() || *end != '\0') {
        std::cerr << "--" << name << ": not a whole number: " << value << '\n';
        std::exit(usage_exit_code);
    }
    return parsed;
}

}  // namespace fuchsiaquay::stand_ins
