#include "drivers/log/log_output.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace fuchsiaquay {

using steady_clock = std::chrono::steady_clock;

namespace {

constexpr int poll_period_ms = 50;
/// At the end of the process, a reader that takes nothing for this time is given up.
constexpr auto closing_progress_limit = std::chrono::milliseconds(150);
/// Maximum time for writing the last lines. The platform kills a process that stops too late.
constexpr auto closing_limit = std::chrono::milliseconds(300);

}  // namespace

bool log_output::reserve(bool essential) {
    const std::size_t limit = essential ? capacity : capacity - essential_reserve;
    if (waiting_.fetch_add(1) >= limit) {
        --waiting_;
        ++dropped_;
        return false;
    }
    return true;
}

void log_output::begin_closing() {
    closing_since_ = steady_clock::now();
}

void log_output::write(const log4cxx::LogString& line, log4cxx::helpers::Pool& /*pool*/) {
    if (line_open_) {
        // A line that could not be completed must not run into the next one.
        line_open_ = !write_all("\n");
    }
    if (line_open_ || !write_all(line)) {
        if (line.find(report_event) != log4cxx::LogString::npos) {
            report_lost_ = true;
        } else {
            ++dropped_;
        }
    }
    --waiting_;
}

bool log_output::write_all(std::string_view bytes) {
    while (!bytes.empty()) {
        if (given_up_ || !wait_until_writable()) {
            return false;
        }
        // A pipe that polls as writable takes this much without blocking.
        const ssize_t written =
            ::write(descriptor_, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF));
        if (written < 0 && (errno == EINTR || errno == EAGAIN)) {
            continue;
        }
        if (written < 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
        line_open_ = !bytes.empty();
        progress_at_ = steady_clock::now();
    }
    return true;
}

bool log_output::wait_until_writable() {
    while (true) {
        pollfd target{descriptor_, POLLOUT, 0};
        const int ready = poll(&target, 1, poll_period_ms);
        if (ready > 0) {
            return true;
        }
        if (ready < 0 && errno != EINTR) {
            return false;
        }
        const auto now = steady_clock::now();
        const auto since = closing_since_.load();
        if (now >= since && (now - std::max(since, progress_at_) > closing_progress_limit ||
                             now - since > closing_limit)) {
            given_up_ = true;
            return false;
        }
    }
}

}  // namespace fuchsiaquay
