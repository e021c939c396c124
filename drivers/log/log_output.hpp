#pragma once

#include <log4cxx/helpers/writer.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fuchsiaquay {

/// Writes log lines to a file descriptor from the thread of the asynchronous appender, and counts
/// the lines that wait for it. A reader that is slow, or a descriptor that is non-blocking, delays
/// lines but does not lose them; lines beyond the capacity are dropped and counted.
class log_output final : public log4cxx::helpers::Writer {
public:
    /// Maximum number of waiting lines.
    static constexpr std::size_t capacity = 4'096;
    /// Part of the capacity that only essential lines may use.
    static constexpr std::size_t essential_reserve = 1'024;

    /// Begin of the lines that report dropped lines.
    static constexpr const char* report_event = "event=log_lines_dropped ";

    explicit log_output(int descriptor) : descriptor_(descriptor) {}
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;
    ~log_output() override = default;

    /// Reserves room for a line. Returns false, and counts the line as dropped, if there is none.
    bool reserve(bool essential);
    std::size_t waiting() const noexcept { return waiting_; }
    /// Dropped lines without reports of dropped lines.
    std::uint64_t dropped() const noexcept { return dropped_; }
    /// Whether a report of dropped lines was dropped since the last call.
    bool take_lost_report() { return report_lost_.exchange(false); }
    /// From now on, waits only for a bounded time for the reader of the log.
    void begin_closing();

    void write(const log4cxx::LogString& line, log4cxx::helpers::Pool& pool) override;
    void flush(log4cxx::helpers::Pool& /*pool*/) override {}
    void close(log4cxx::helpers::Pool& /*pool*/) override {}

private:
    /// Returns false if the line could not be written.
    bool write_all(std::string_view bytes);
    /// Waits until the descriptor accepts bytes. Returns false when it is time to give up.
    bool wait_until_writable();

    int descriptor_;
    std::atomic<std::size_t> waiting_ = 0;
    std::atomic<std::uint64_t> dropped_ = 0;
    std::atomic<bool> report_lost_ = false;
    std::atomic<std::chrono::steady_clock::time_point> closing_since_ =
        std::chrono::steady_clock::time_point::max();
    std::chrono::steady_clock::time_point progress_at_{};
    /// The process ends and the reader of the log takes no more lines.
    bool given_up_ = false;
    /// Bytes of an incomplete line were written.
    bool line_open_ = false;
};

}  // namespace fuchsiaquay
