#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace fuchsiaquay::stand_ins {

/// Settings of a stand-in, read from `--name value` arguments. Every setting has a default; an
/// unknown name or a value of the wrong kind ends the process with exit code 2.
class options {
public:
    /// @param defaults  every allowed name (without dashes) with its default value
    explicit options(std::map<std::string, std::string> defaults);

    /// Reads the command line over the defaults.
    void parse(int argc, char** argv);

    std::string text(const std::string& name) const;
    std::int64_t number(const std::string& name) const;

private:
    std::map<std::string, std::string> values_;
};

}  // namespace fuchsiaquay::stand_ins
