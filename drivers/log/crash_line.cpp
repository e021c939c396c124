#include "drivers/log/crash_line.hpp"

#include <poll.h>
#include <time.h>
#include <unistd.h>

#include <csignal>
#include <cstddef>
#include <cstring>

namespace fuchsiaquay {

namespace {

constexpr int fatal_signals[] = {SIGSEGV, SIGBUS, SIGABRT, SIGFPE, SIGILL};
constexpr std::size_t max_line = 512;
/// The handler needs a stack of its own, because an overflow of the stack is one of the causes.
constexpr std::size_t handler_stack_bytes = 65'536;
constexpr long nanoseconds_per_millisecond = 1'000'000;
constexpr long long seconds_per_day = 86'400;

// State of the signal handler, which may only use memory that exists already.
char line_end[max_line];
long seconds_east_of_utc = 0;
alignas(16) char handler_stack[handler_stack_bytes];

/// Builds a line without functions that a signal handler must not call.
class line_builder {
public:
    void append(const char* text) {
        for (; *text != '\0' && size_ < max_line; ++text) {
            text_[size_++] = *text;
        }
    }
    void append(long long value, int digits) {
        char reversed[20];
        int count = 0;
        for (; (value > 0 || count < digits) && count < 20; value /= 10) {
            reversed[count++] = static_cast<char>('0' + value % 10);
        }
        while (count > 0 && size_ < max_line) {
            text_[size_++] = reversed[--count];
        }
    }
    void append_local_time() {
        timespec now{};
        clock_gettime(CLOCK_REALTIME, &now);
        const long long seconds = now.tv_sec + seconds_east_of_utc;
        append_date(seconds / seconds_per_day);
        const long long in_day = seconds % seconds_per_day;
        append("T");
        append(in_day / 3'600, 2);
        append(":");
        append(in_day / 60 % 60, 2);
        append(":");
        append(in_day % 60, 2);
        append(".");
        append(now.tv_nsec / nanoseconds_per_millisecond, 3);
    }
    /// Skips the line if the reader takes nothing: a process that has crashed must not wait.
    void write_out() const {
        pollfd target{STDOUT_FILENO, POLLOUT, 0};
        if (poll(&target, 1, 0) > 0) {
            (void)!write(STDOUT_FILENO, text_, size_);
        }
    }

private:
    /// Gregorian date; the year is counted from March, so that a leap day is its last day.
    void append_date(long long days_since_1970) {
        const long long days = days_since_1970 + 719'468;
        const long long era = days / 146'097;
        const long long day_of_era = days % 146'097;
        const long long year_of_era =
            (day_of_era - day_of_era / 1'460 + day_of_era / 36'524 - day_of_era / 146'096) / 365;
        const long long day_of_year =
            day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
        const long long month_from_march = (5 * day_of_year + 2) / 153;
        const long long month = month_from_march < 10 ? month_from_march + 3 : month_from_march - 9;
        append(year_of_era + era * 400 + (month <= 2 ? 1 : 0), 4);
        append("-");
        append(month, 2);
        append("-");
        append(day_of_year - (153 * month_from_march + 2) / 5 + 1, 2);
    }

    char text_[max_line] = {};
    std::size_t size_ = 0;
};

void on_fatal_signal(int number) {
    line_builder line;
    line.append_local_time();
    line.append(" ERROR event=crashed signal=");
    line.append(number, 1);
    line.append(line_end);
    line.write_out();
    // The handler was reset to the default action when it was called.
    (void)std::raise(number);
}

}  // namespace

void write_line_at_crash(const std::string& host) {
    const std::string end = " host=" + host + "\n";
    std::strncpy(line_end, end.c_str(), max_line - 1);
    const time_t now = time(nullptr);
    tm local{};
    localtime_r(&now, &local);
    seconds_east_of_utc = local.tm_gmtoff;
    stack_t stack{};
    stack.ss_sp = handler_stack;
    stack.ss_size = handler_stack_bytes;
    (void)sigaltstack(&stack, nullptr);
    struct sigaction action {};
    action.sa_handler = on_fatal_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND) | SA_ONSTACK;
    for (const int number : fatal_signals) {
        (void)sigaction(number, &action, nullptr);
    }
}

}  // namespace fuchsiaquay
