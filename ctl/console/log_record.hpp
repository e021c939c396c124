#pragma once

#include <map>
#include <optional>
#include <string>

namespace fuchsiaquay {

/// One line of a node's log.
struct log_record {
    /// As written in the log, `yyyy-MM-ddTHH:mm:ss.SSS`; sorts chronologically.
    std::string time;
    std::string event;
    /// The other fields by name, unquoted.
    std::map<std::string, std::string> fields;

    /// Empty when the line has no such field.
    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

/// Parses a line and ignores any prefix before the time. Empty when the line is not from a node.
std::optional<log_record> parse_log_record(const std::string& line);

/// Milliseconds from one log time to a later one; 0 when either cannot be parsed.
long long milliseconds_between(const std::string& earlier, const std::string& later);

}  // namespace fuchsiaquay
