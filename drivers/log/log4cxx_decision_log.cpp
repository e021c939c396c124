#include "drivers/log/log4cxx_decision_log.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <utility>

#include "drivers/log/log_output.hpp"

namespace fuchsiaquay {

namespace {

/// Events that tell how a request or the process began and ended. They are kept when the buffer is
/// too full for other lines.
constexpr std::string_view essential_events[] = {
    "request_ended", "answer_cut", "request_rejected", "request_dispatched",
    "started",       "stopped",    "drain_started",    "handler_failed"};

bool is_essential(decision_log::level severity, std::string_view event) {
    return severity == decision_log::level::error ||
           std::find(std::begin(essential_events), std::end(essential_events), event) !=
               std::end(essential_events);
}

log4cxx::LevelPtr native_level(decision_log::level severity) {
    switch (severity) {
        case decision_log::level::debug:
            return log4cxx::Level::getDebug();
        case decision_log::level::info:
            return log4cxx::Level::getInfo();
        case decision_log::level::warning:
            return log4cxx::Level::getWarn();
        case decision_log::level::error:
            return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

/// Larger than the capacity, because lines that are being written also occupy the buffer.
constexpr int buffer_size = 2 * log_output::capacity;

bool needs_quotes(const std::string& value) {
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string::npos;
}

void append_value(std::string& line, const std::string& value) {
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += c < ' ' ? ' ' : c;
    }
    line += '"';
}

}  // namespace

class log4cxx_decision_log::impl {
public:
    explicit impl(int descriptor) : output_(std::make_shared<log_output>(descriptor)) {}

    /// Writes a line that has a reservation.
    void append(const log4cxx::LevelPtr& native, const std::string& line) const {
        logger_->forcedLog(native, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
    }

    std::shared_ptr<log_output> output_;
    /// Number of dropped lines that a line has reported.
    std::atomic<std::uint64_t> reported_ = 0;
    /// The same before the latest report.
    std::atomic<std::uint64_t> reported_before_ = 0;
    log4cxx::LoggerPtr logger_ = log4cxx::Logger::getLogger("fuchsiaquay");
};

log4cxx_decision_log::log4cxx_decision_log(std::string host, const std::string& level,
                                           int descriptor)
    : host_(std::move(host)), impl_(std::make_unique<impl>(descriptor)) {
    const log4cxx::LayoutPtr layout(
        new log4cxx::PatternLayout("%d{yyyy-MM-ddTHH:mm:ss.SSS} %p %m%n"));
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout);
    console->setWriter(impl_->output_);
    // `write` never blocks on a slow reader of the log. `log_output` limits the number of waiting
    // lines, so the buffer itself is never full.
    auto* buffer = new log4cxx::AsyncAppender();
    const log4cxx::AppenderPtr appender(buffer);
    buffer->setBufferSize(buffer_size);
    buffer->setBlocking(false);
    buffer->addAppender(console);
    impl_->logger_->removeAllAppenders();
    impl_->logger_->addAppender(appender);
    impl_->logger_->setAdditivity(false);
    if (!set_level(level)) {
        set_level("info");
    }
}

log4cxx_decision_log::~log4cxx_decision_log() {
    impl_->output_->begin_closing();
    // Flushes the buffered lines.
    impl_->logger_->removeAllAppenders();
}

void log4cxx_decision_log::write(level severity, std::string_view event,
                                 std::initializer_list<field> fields) {
    const log4cxx::LevelPtr native = native_level(severity);
    if (!impl_->logger_->isEnabledFor(native) ||
        !impl_->output_->reserve(is_essential(severity, event))) {
        return;
    }
    std::string line = "event=" + std::string(event) + " host=" + host_;
    for (const field& pair : fields) {
        line += ' ';
        line += pair.name;
        line += '=';
        append_value(line, pair.value);
    }
    impl_->append(native, line);
    report_dropped_lines();
}

void log4cxx_decision_log::report_dropped_lines() {
    if (impl_->output_->take_lost_report()) {
        // The next report covers the lines of the lost one too.
        impl_->reported_ = impl_->reported_before_.load();
    }
    const std::uint64_t dropped = impl_->output_->dropped();
    if (dropped == impl_->reported_ || impl_->output_->waiting() > log_output::essential_reserve ||
        !impl_->output_->reserve(true)) {
        return;
    }
    impl_->reported_before_ = impl_->reported_.load();
    const std::uint64_t lines = dropped - impl_->reported_.exchange(dropped);
    impl_->append(log4cxx::Level::getWarn(),
                  std::string(log_output::report_event) + "host=" + host_ +
                      " lines=" + std::to_string(lines) + " total=" + std::to_string(dropped));
}

std::uint64_t log4cxx_decision_log::lines_dropped() const {
    return impl_->output_->dropped();
}

bool log4cxx_decision_log::set_level(const std::string& level) {
    if (level == "debug") {
        impl_->logger_->setLevel(log4cxx::Level::getDebug());
    } else if (level == "info") {
        impl_->logger_->setLevel(log4cxx::Level::getInfo());
    } else if (level == "warning") {
        impl_->logger_->setLevel(log4cxx::Level::getWarn());
    } else if (level == "error") {
        impl_->logger_->setLevel(log4cxx::Level::getError());
    } else {
        return false;
    }
    return true;
}

}  // namespace fuchsiaquay
