#include "ctl/console/log_record.hpp"

#include <cctype>
#include <cstdio>
#include <ctime>
#include <utility>

namespace fuchsiaquay {

namespace {

constexpr const char* event_marker = " event=";
constexpr std::size_t time_length = 23;
constexpr long long milliseconds_per_second = 1'000;
constexpr int first_year = 1900;

/// Position of the time. The log level follows it and is the last word before the fields.
std::size_t time_position(const std::string& line, std::size_t fields) {
    const std::size_t level = line.rfind(' ', fields - 1);
    if (level == std::string::npos || level < time_length) {
        return std::string::npos;
    }
    return level - time_length;
}

/// Reads the value position `position` and moves `position` past it.
std::string read_value(const std::string& line, std::size_t& position) {
    std::string value;
    const bool quoted = position < line.size() && line[position] == '"';
    if (quoted) {
        ++position;
    }
    while (position < line.size() && line[position] != (quoted ? '"' : ' ')) {
        if (quoted && line[position] == '\\' && position + 1 < line.size()) {
            ++position;
        }
        value += line[position++];
    }
    if (quoted && position < line.size()) {
        ++position;
    }
    return value;
}

std::optional<long long> milliseconds_of(const std::string& text) {
    std::tm parts{};
    int millisecond = 0;
    if (std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%d", &parts.tm_year, &parts.tm_mon,
                    &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec,
                    &millisecond) != 7) {
        return std::nullopt;
    }
    parts.tm_year -= first_year;
    parts.tm_mon -= 1;
    return static_cast<long long>(timegm(&parts)) * milliseconds_per_second + millisecond;
}

}  // namespace

std::optional<log_record> parse_log_record(const std::string& line) {
    const std::size_t marker = line.find(event_marker);
    if (marker == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t start = time_position(line, marker);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    log_record record;
    record.time = line.substr(start, time_length);
    if (!milliseconds_of(record.time)) {
        return std::nullopt;
    }
    std::size_t position = marker + 1;
    while (position < line.size()) {
        const std::size_t equals = line.find('=', position);
        if (equals == std::string::npos) {
            break;
        }
        const std::string name = line.substr(position, equals - position);
        position = equals + 1;
        record.fields[name] = read_value(line, position);
        while (position < line.size() && line[position] == ' ') {
            ++position;
        }
    }
    record.event = record.field("event");
    record.fields.erase("event");
    return record;
}

long long milliseconds_between(const std::string& earlier, const std::string& later) {
    const auto from = milliseconds_of(earlier);
    const auto to = milliseconds_of(later);
    return from && to ? *to - *from : 0;
}

}  // namespace fuchsiaquay
