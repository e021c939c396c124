#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace fuchsiaquay {

/// Command line of `fuchsiaquayctl`.
struct ctl_options {
    /// Nodes as ADDRESS:PORT, tried in this order.
    std::vector<std::string> nodes;
    std::string token;
    bool json = false;
    bool dry_run = false;
    bool help = false;
    /// Timeout of one call.
    int timeout_s = 15;
    /// Options of individual commands by name, such as "revision" or "interval".
    std::map<std::string, std::string> values;
    /// Words that are not options: the command and its arguments.
    std::vector<std::string> words;

    std::string value(const std::string& name, const std::string& fallback) const {
        const auto found = values.find(name);
        return found == values.end() ? fallback : found->second;
    }
};

/// Parses the command line. Nodes and token default to the environment variables FUCHSIAQUAY_NODES
/// and FUCHSIAQUAY_TOKEN.
/// @return false when the command line is invalid; the error is then written to `err`
bool parse_options(int argc, char** argv, ctl_options& options, std::ostream& err);

}  // namespace fuchsiaquay
