/// @file
/// Runs one scenario: scenario_runner --build FOLDER --prelude FILE --script FILE --seed N.
/// Exit code 0 if every expectation held, 1 if one did not, 2 for invalid arguments.

#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <thread>

#include "tests/scenarios/runner/lua_bindings.hpp"
#include "tests/scenarios/runner/scenario.hpp"
#include "tests/stand_ins/support/options.hpp"

using namespace fuchsiaquay;
using scenarios::scenario;

namespace {

constexpr mode_t folder_mode = 0755;

/// Kills all processes when the scenario takes too long or the runner is told to stop: a runner
/// that is killed by a signal would leave its processes running.
void start_watchdog(const scenario& target, std::chrono::seconds limit) {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int each : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, each);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([&target, signals, limit] {
        const timespec time{limit.count(), 0};
        const int received = sigtimedwait(&signals, nullptr, &time);
        std::cout << "FAILED: " << (received > 0 ? "stopped by a signal" : "over its time limit")
                  << ", seed " << target.seed() << ", timeline:\n";
        target.events().print(std::cout);
        std::cout.flush();
        scenarios::child_process::kill_all();
        std::_Exit(1);
    }).detach();
}

bool run_file(lua_State* state, const std::string& file) {
    if (luaL_dofile(state, file.c_str()) == LUA_OK) {
        return true;
    }
    std::cout << "FAILED: " << lua_tostring(state, -1) << '\n';
    if (lua_getglobal(state, "report_loads") == LUA_TFUNCTION) {
        lua_pcall(state, 0, 0, 0);
    }
    return false;
}

bool run(scenario& target, const stand_ins::options& settings) {
    const std::unique_ptr<lua_State, decltype(&lua_close)> state(luaL_newstate(), lua_close);
    luaL_openlibs(state.get());
    scenarios::add_bindings(state.get(), target);
    return run_file(state.get(), settings.text("prelude")) &&
           run_file(state.get(), settings.text("script"));
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::set_terminate([] {
        scenarios::child_process::kill_all();
        std::abort();
    });
    stand_ins::options settings({{"build", "build"},
                                 {"prelude", ""},
                                 {"script", ""},
                                 {"seed", "1"},
                                 {"runs", ""},
                                 {"limit-seconds", "100"}});
    settings.parse(argc, argv);
    const std::string script = settings.text("script");
    const std::string name = script.substr(script.find_last_of('/') + 1);
    const std::string runs = settings.text("runs").empty()
                                 ? settings.text("build") + "/scenario_runs"
                                 : settings.text("runs");
    mkdir(runs.c_str(), folder_mode);
    const std::string folder = runs + "/" + name + "." + std::to_string(getpid());
    mkdir(folder.c_str(), folder_mode);
    scenario target(settings.text("build"), folder,
                    static_cast<std::uint64_t>(settings.number("seed")));
    start_watchdog(target, std::chrono::seconds(settings.number("limit-seconds")));
    const bool passed = run(target, settings);
    if (!passed) {
        std::cout << "seed " << target.seed() << ", logs in " << folder << ", timeline:\n";
        target.events().print(std::cout);
        target.print_logs(std::cout);
    }
    std::cout << (passed ? "passed " : "failed ") << name << '\n';
    return passed ? 0 : 1;
}
