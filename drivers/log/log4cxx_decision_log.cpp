#include "drivers/log/log4cxx_decision_log.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <utility>

namespace fuchsiaquay {

namespace {

/// Capacity of the buffer between writers and standard output.
constexpr int max_buffered_lines = 4'096;

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
    log4cxx::LoggerPtr logger_ = log4cxx::Logger::getLogger("fuchsiaquay");
};

log4cxx_decision_log::log4cxx_decision_log(std::string host, const std::string& level)
    : host_(std::move(host)), impl_(std::make_unique<impl>()) {
    const log4cxx::LayoutPtr layout(
        new log4cxx::PatternLayout("%d{yyyy-MM-ddTHH:mm:ss.SSS} %p %m%n"));
    const log4cxx::AppenderPtr console(new log4cxx::ConsoleAppender(layout));
    // `write` never blocks on a slow reader of the log: lines that do not fit into the buffer are
    // discarded, and a later line reports how many.
    auto* buffer = new log4cxx::AsyncAppender();
    const log4cxx::AppenderPtr appender(buffer);
    buffer->setBufferSize(max_buffered_lines);
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
    // Flushes the buffered lines.
    impl_->logger_->removeAllAppenders();
}

void log4cxx_decision_log::write(level severity, std::string_view event,
                                 std::initializer_list<field> fields) {
    const log4cxx::LevelPtr native = native_level(severity);
    if (!impl_->logger_->isEnabledFor(native)) {
        return;
    }
    std::string line = "event=" + std::string(event) + " host=" + host_;
    for (const field& pair : fields) {
        line += ' ';
        line += pair.name;
        line += '=';
        append_value(line, pair.value);
    }
    impl_->logger_->forcedLog(native, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
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
