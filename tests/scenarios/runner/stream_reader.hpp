#pragma once

#include <string>

namespace fuchsiaquay::scenarios {

/// Reads the lines of a streamed completion: appends the text to the answer and keeps the id of
/// the last event.
class stream_reader {
public:
    stream_reader(std::string& answer, std::string& last_event_id)
        : answer_(answer), last_event_id_(last_event_id) {}

    void read(const std::string& line);

    /// Number of end markers read.
    int ends() const { return ends_; }

    /// Code of the error event; empty without one.
    const std::string& error() const { return error_; }

private:
    void read_data(const std::string& data);

    std::string& answer_;
    std::string& last_event_id_;
    std::string event_id_;
    std::string error_;
    int ends_ = 0;
};

}  // namespace fuchsiaquay::scenarios
