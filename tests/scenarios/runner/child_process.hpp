#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace fuchsiaquay::scenarios {

/// A process that the runner started. The destructor kills it, so that nothing outlives a run.
class child_process {
public:
    /// Starts `arguments[0]` with its output going to the file `log`.
    child_process(const std::vector<std::string>& arguments, std::string log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal; nothing happens where the process has ended.
    void signal(int number);

    bool running();

    /// Waits for the end. Returns false where it did not come within `limit`.
    bool wait_for_end(std::chrono::milliseconds limit);

    /// Exit code, or minus the signal that ended the process. Valid after the end.
    int exit_code() const { return exit_code_; }

    /// Kills every process that this runner has started and not yet seen ended. May be called from
    /// any thread, as the last thing before the runner ends.
    static void kill_all();

    /// What the process has written so far.
    std::string output() const;

private:
    std::string log_;
    pid_t id_ = -1;
    bool ended_ = false;
    int exit_code_ = 0;
};

}  // namespace fuchsiaquay::scenarios
