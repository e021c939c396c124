#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace fuchsiaquay::scenarios {

/// A process that the runner started. The destructor kills it, so that no process outlives a run.
class child_process {
public:
    /// Starts `arguments[0]` with its output going to the file `log`.
    child_process(const std::vector<std::string>& arguments, std::string log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal; does nothing if the process has ended.
    void signal(int number);

    bool running();

    /// Waits for the process to end. Returns false if it is still running after `limit`.
    bool wait_for_end(std::chrono::milliseconds limit);

    /// Exit code, or the negative number of the signal that ended the process. Valid after its end.
    int exit_code() const { return exit_code_; }

    /// Kills every process that this runner started and that has not ended. May be called from any
    /// thread, immediately before the runner exits.
    static void kill_all();

    /// Output of the process so far.
    std::string output() const;

private:
    std::string log_;
    pid_t id_ = -1;
    bool ended_ = false;
    int exit_code_ = 0;
};

}  // namespace fuchsiaquay::scenarios
