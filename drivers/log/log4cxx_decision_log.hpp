#pragma once

#include <unistd.h>

#include <cstdint>
#include <memory>
#include <string>

#include "servers/decision_log.hpp"

namespace fuchsiaquay {

/// Decision log based on log4cxx. Writes lines `time level key=value ...` to standard output.
/// When its reader is too slow, lines are dropped; those that end requests last.
class log4cxx_decision_log final : public decision_log {
public:
    /// @param host  added to every line as `host=`
    /// @param level  debug, info, warning or error
    /// @param descriptor  file descriptor to write to
    log4cxx_decision_log(std::string host, const std::string& level,
                         int descriptor = STDOUT_FILENO);
    log4cxx_decision_log(const log4cxx_decision_log&) = delete;
    log4cxx_decision_log& operator=(const log4cxx_decision_log&) = delete;
    /// Writes the remaining lines, for at most about a second.
    ~log4cxx_decision_log() override;

    void write(level severity, std::string_view event,
               std::initializer_list<field> fields) override;
    std::uint64_t lines_dropped() const override;
    /// Changes the level at run time. Returns false for an unknown level.
    bool set_level(const std::string& level);

private:
    class impl;

    void report_dropped_lines();

    std::string host_;
    std::unique_ptr<impl> impl_;
};

}  // namespace fuchsiaquay
