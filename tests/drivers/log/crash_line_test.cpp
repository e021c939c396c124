#include "drivers/log/crash_line.hpp"

#include <CppUTest/TestHarness.h>
#include <fnmatch.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

using namespace fuchsiaquay;

TEST_GROUP(crash_line){};

// Guards against a crash that leaves no line in the log.
TEST(crash_line, fatal_signal_writes_a_line_and_ends_the_process) {
    int ends[2];
    CHECK_EQUAL(0, pipe(ends));
    const pid_t child = fork();
    if (child == 0) {
        (void)dup2(ends[1], STDOUT_FILENO);
        write_line_at_crash("h");
        (void)std::raise(SIGSEGV);
        _exit(0);
    }
    close(ends[1]);
    char text[256] = {};
    const ssize_t size = read(ends[0], text, sizeof text - 1);
    close(ends[0]);
    int status = 0;
    CHECK_EQUAL(child, waitpid(child, &status, 0));
    CHECK_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGSEGV);
    CHECK_TRUE(size > 0);
    const char* const expected =
        "[0-9][0-9][0-9][0-9]-[0-9][0-9]-[0-9][0-9]T[0-9][0-9]:[0-9][0-9]:[0-9][0-9].[0-9][0-9][0-"
        "9] "
        "ERROR event=crashed signal=11 host=h\n";
    CHECK_EQUAL(0, fnmatch(expected, text, 0));
}
