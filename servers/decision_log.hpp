#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fuchsiaquay {

/// Structured log with one line of key=value pairs per event. Never log prompt text or keys.
class decision_log {
public:
    enum class level { debug, info, warning, error };
    /// One key=value pair.
    struct field {
        std::string_view name;
        std::string value;
    };

    decision_log() = default;
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    virtual ~decision_log() = default;

    /// Writes one line: `event=<event>` and the fields in order. Thread-safe.
    virtual void write(level severity, std::string_view event,
                       std::initializer_list<field> fields) = 0;
    /// Number of lines that could not be written. Thread-safe.
    virtual std::uint64_t lines_dropped() const { return 0; }
};

}  // namespace fuchsiaquay
