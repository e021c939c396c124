#include "tests/scenarios/runner/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "core/error/operation_error.hpp"

extern char** environ;  // NOLINT(readability-redundant-declaration)

namespace fuchsiaquay::scenarios {

namespace {
constexpr std::chrono::milliseconds poll_interval(5);
constexpr std::chrono::seconds end_after_kill(10);
constexpr mode_t log_mode = 0644;

std::mutex& ids_mutex() {
    static std::mutex mutex;
    return mutex;
}

std::set<pid_t>& running_ids() {
    static std::set<pid_t> ids;
    return ids;
}

/// The runner blocks the stop signals for its threads; children must receive them.
void clear_signal_mask(posix_spawnattr_t& attributes) {
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
}

}  // namespace

child_process::child_process(const std::vector<std::string>& arguments, std::string log)
    : log_(std::move(log)) {
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string& each : arguments) {
        argv.push_back(const_cast<char*>(each.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherited the sockets of the links would keep reset connections open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    clear_signal_mask(attributes);
    const int result = posix_spawn(&id_, argv[0], &actions, &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw operation_error("start process", arguments.front(), "cannot be started");
    }
    const std::lock_guard<std::mutex> lock(ids_mutex());
    running_ids().insert(id_);
}

child_process::~child_process() {
    if (!running()) {
        return;
    }
    kill(id_, SIGKILL);
    wait_for_end(end_after_kill);
}

void child_process::kill_all() {
    const std::lock_guard<std::mutex> lock(ids_mutex());
    for (const pid_t id : running_ids()) {
        kill(id, SIGKILL);
    }
}

void child_process::signal(int number) {
    if (running()) {
        kill(id_, number);
    }
}

bool child_process::running() {
    if (ended_) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(ids_mutex());
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_) {
        return true;
    }
    ended_ = true;
    running_ids().erase(id_);
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

bool child_process::wait_for_end(std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (running()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string child_process::output() const {
    std::ifstream file(log_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace fuchsiaquay::scenarios
