#include "ctl/console/log_record.hpp"

#include <cctype>
#include <cstdio>
#include <ctime>
#include <utility>

namespace fuchsiaquay {

namespace {

constexpr const char* event_mark = " event=";
constexpr std::size_t time_length = 23;
constexpr long long milliseconds_per_second = 1'000;
constexpr int first_year = 1900;

/// Start of the time that ends before the level, the word in front of the fields.
std::size_t time_before(const std::string& line, std::size_t fields) {
    const std::size_t level = line.rfind(' ', fields - 1);
    if (level == std::string::npos || level < time_length) {
        return std::string::npos;
    }
    return level - time_length;
}

/// Reads a value from `at` on and moves `at` behind it.
std::string take_value(const std::string& line, std::size_t& at) {
    std::string value;
    const bool quoted = at < line.size() && line[at] == '"';
    if (quoted) {
        ++at;
    }
    while (at < line.size() && line[at] != (quoted ? '"' : ' ')) {
        if (quoted && line[at] == '\\' && at + 1 < line.size()) {
            ++at;
        }
        value += line[at++];
    }
    if (quoted && at < line.size()) {
        ++at;
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
    const std::size_t mark = line.find(event_mark);
    if (mark == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t start = time_before(line, mark);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    log_record record;
    record.time = line.substr(start, time_length);
    if (!milliseconds_of(record.time)) {
        return std::nullopt;
    }
    std::size_t at = mark + 1;
    while (at < line.size()) {
        const std::size_t equals = line.find('=', at);
        if (equals == std::string::npos) {
            break;
        }
        const std::string name = line.substr(at, equals - at);
        at = equals + 1;
        record.fields[name] = take_value(line, at);
        while (at < line.size() && line[at] == ' ') {
            ++at;
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
