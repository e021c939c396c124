#pragma once

#include <map>
#include <optional>
#include <string>

namespace fuchsiaquay {

/// One line of a node's log.
struct log_record {
    /// As written, `yyyy-MM-ddTHH:mm:ss.SSS`, so that records sort by it.
    std::string time;
    std::string event;
    /// The other fields by name, without quotes.
    std::map<std::string, std::string> fields;

    /// Empty when the line has no such field.
    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

/// Reads a line; what stands before the time is skipped. Empty when it is no line of a node.
std::optional<log_record> parse_log_record(const std::string& line);

/// Milliseconds from one time of a log to a later one; 0 when either is no time.
long long milliseconds_between(const std::string& earlier, const std::string& later);

}  // namespace fuchsiaquay
