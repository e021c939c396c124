#include "drivers/log/log4cxx_decision_log.hpp"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "tests/leak_detection_off.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;

namespace {

/// More lines than the log keeps for a slow reader.
constexpr int many_lines = 20'000;
constexpr auto closing_bound = std::chrono::seconds(2);

}  // namespace

/// A log that writes into a pipe.
TEST_GROUP(decision_log) {
    int read_end_ = -1;
    int write_end_ = -1;
    std::unique_ptr<log4cxx_decision_log> log_;
    std::string text_;

    void setup() override {
        CHECK_TRUE(leak_detection_off);
        (void)std::signal(SIGPIPE, SIG_IGN);
        int ends[2];
        CHECK_EQUAL(0, pipe2(ends, O_CLOEXEC));
        read_end_ = ends[0];
        write_end_ = ends[1];
        log_ = std::make_unique<log4cxx_decision_log>("h", "info", write_end_);
    }
    void teardown() override {
        log_.reset();
        close(write_end_);
        if (read_end_ >= 0) {
            close(read_end_);
        }
    }

    void write_lines(const char* event, int count) {
        for (int i = 0; i < count; ++i) {
            log_->write(decision_log::level::info, event, {{"request", std::to_string(i)}});
        }
    }
    /// Reads until the log and its pipe are closed.
    void read_to_the_end() {
        std::thread reader([this] {
            char bytes[4096];
            for (ssize_t got = 0; (got = read(read_end_, bytes, sizeof bytes)) > 0;) {
                text_.append(bytes, static_cast<std::size_t>(got));
            }
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        log_->write(decision_log::level::info, "last", {});
        log_.reset();
        close(write_end_);
        reader.join();
    }
    int count(const std::string& part) const {
        int found = 0;
        for (std::size_t at = 0; (at = text_.find(part, at)) != std::string::npos; ++at) {
            ++found;
        }
        return found;
    }
};

// Guards against lines that are lost without a trace when standard output is non-blocking and full.
TEST(decision_log, lines_to_a_full_non_blocking_pipe_are_delayed_and_losses_are_counted) {
    CHECK_EQUAL(0, fcntl(write_end_, F_SETFL, O_NONBLOCK));
    write_lines("request_ended", many_lines);
    const int dropped = static_cast<int>(log_->lines_dropped());
    CHECK_TRUE(dropped > 0);
    read_to_the_end();
    LONGS_EQUAL(many_lines - dropped, count("event=request_ended"));
    LONGS_EQUAL(1, count("event=log_lines_dropped host=h lines=" + std::to_string(dropped) +
                         " total=" + std::to_string(dropped) + "\n"));
    LONGS_EQUAL(1, count("event=last"));
    BYTES_EQUAL('\n', text_.back());
}

// Guards against ends of requests that are dropped because less important lines fill the buffer.
TEST(decision_log, ends_of_requests_are_kept_when_other_lines_fill_the_buffer) {
    write_lines("request_not_placed", many_lines);
    write_lines("request_ended", 500);
    read_to_the_end();
    LONGS_EQUAL(500, count("event=request_ended"));
}

// Guards against a process that cannot end because nobody reads its log.
TEST(decision_log, reader_that_never_reads_does_not_hold_up_the_end) {
    write_lines("request_ended", many_lines);
    const auto began = std::chrono::steady_clock::now();
    log_.reset();
    CHECK_TRUE(std::chrono::steady_clock::now() - began < closing_bound);
}

TEST(decision_log, lines_that_no_reader_can_receive_are_counted) {
    close(read_end_);
    read_end_ = -1;
    write_lines("request_ended", 10);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    LONGS_EQUAL(10, log_->lines_dropped());
}

// Guards against reports of dropped lines that are dropped themselves and counted as lines.
TEST(decision_log, lost_reports_of_dropped_lines_do_not_count_as_lines) {
    close(read_end_);
    read_end_ = -1;
    for (int i = 0; i < 10; ++i) {
        write_lines("request_ended", 1);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    LONGS_EQUAL(10, log_->lines_dropped());
}
