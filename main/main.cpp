/// @file
/// Entry point of `fuchsiaquay`, the node that runs on every entry host.

#include <getopt.h>
#include <malloc.h>
#include <sys/stat.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "core/error/operation_error.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/http/http_thread_count.hpp"
#include "drivers/log/crash_line.hpp"
#include "drivers/log/log4cxx_decision_log.hpp"
#include "drivers/settings/setting_definition.hpp"
#include "drivers/settings/settings_error.hpp"
#include "main/entry_node.hpp"
#include "main/entry_settings.hpp"
#include "main/node.hpp"
#include "main/node_settings.hpp"

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

/// Period of checking whether the settings file has changed.
constexpr fuchsiaquay::duration settings_check_period = std::chrono::seconds(2);

const char* const usage =
    "fuchsiaquay [entry] --config FILE [options]\n"
    "  entry                    run on the users' platform, with its own set of settings\n"
    "  --config FILE            INI settings, see docs/CONFIGURATION.md\n"
    "  --check-config           check the settings and exit\n"
    "  --log-level LEVEL        debug, info, warning or error\n"
    "  --set SECTION.KEY=VALUE  override a setting; may be repeated\n"
    "  --print-settings         print every setting with type, default and range\n"
    "  --version                print the version\n"
    "  --help                   print this text\n"
    "Exit codes: 0 ended as asked, 1 failed, 2 bad command line or settings.\n"
    "SIGTERM or SIGINT: graceful shutdown. SIGHUP: read the settings again (entry).\n";

struct command_line {
    /// True for `entry`.
    bool entry = false;
    std::string config;
    std::vector<std::string> overrides;
    bool check_only = false;
    /// The program must exit now with `exit_code`.
    bool exit_now = false;
    int exit_code = exit_ok;
};

void print_settings(const std::vector<fuchsiaquay::setting_definition>& definitions) {
    for (const fuchsiaquay::setting_definition& item : definitions) {
        std::cout << "| `" << item.section << "` | `" << item.key << "` | ";
        if (item.required) {
            std::cout << "required";
        } else {
            std::cout << (item.default_value.empty() ? "empty" : "`" + item.default_value + "`");
        }
        std::cout << " | ";
        if (item.type == fuchsiaquay::setting_type::integer ||
            item.type == fuchsiaquay::setting_type::number) {
            std::cout << item.minimum << " to " << item.maximum;
        } else {
            std::cout << (item.type == fuchsiaquay::setting_type::ip_address ? "IP number"
                                                                             : "text");
        }
        std::cout << " | " << item.unit << " | " << item.description << " |\n";
    }
}

enum option_code { option_check = 256, option_set, option_print };

command_line parse_command_line(int argc, char** argv) {
    const option options[] = {{"config", required_argument, nullptr, 'c'},
                              {"check-config", no_argument, nullptr, option_check},
                              {"log-level", required_argument, nullptr, 'l'},
                              {"set", required_argument, nullptr, option_set},
                              {"print-settings", no_argument, nullptr, option_print},
                              {"version", no_argument, nullptr, 'v'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    command_line result;
    result.entry = argc > 1 && std::string(argv[1]) == "entry";
    if (result.entry) {
        optind = 2;
    }
    int code = 0;
    while ((code = getopt_long(argc, argv, "c:l:vh", options, nullptr)) != -1) {
        switch (code) {
            case 'c':
                result.config = optarg;
                break;
            case 'l':
                result.overrides.push_back(std::string("log.level=") + optarg);
                break;
            case option_set:
                result.overrides.emplace_back(optarg);
                break;
            case option_check:
                result.check_only = true;
                break;
            case option_print:
                print_settings(result.entry ? fuchsiaquay::entry_setting_definitions()
                                            : fuchsiaquay::node_setting_definitions());
                result.exit_now = true;
                return result;
            case 'v':
                std::cout << "fuchsiaquay " FUCHSIAQUAY_VERSION "\n";
                result.exit_now = true;
                return result;
            case 'h':
                std::cout << usage;
                result.exit_now = true;
                return result;
            default:
                std::cerr << usage;
                result.exit_now = true;
                result.exit_code = exit_bad_settings;
                return result;
        }
    }
    if (result.config.empty()) {
        std::cerr << usage;
        result.exit_now = true;
        result.exit_code = exit_bad_settings;
    }
    return result;
}

void run_node(const fuchsiaquay::node_settings& settings) {
    fuchsiaquay::set_http_thread_count(settings.traffic_threads);
    fuchsiaquay::control_loop loop;
    fuchsiaquay::log4cxx_decision_log log(settings.host, settings.log_level);
    fuchsiaquay::node node(settings, loop, log, [] { std::raise(SIGTERM); });
    boost::asio::signal_set signals(loop.context(), SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int /*signal*/) {
        if (!error) {
            node.drain([&loop] { loop.stop(); });
        }
    });
    loop.run();
}

/// Reloads the settings file and applies the settings that can change at run time.
void reload(const command_line& arguments, fuchsiaquay::log4cxx_decision_log& log) {
    using level = fuchsiaquay::decision_log::level;
    try {
        const auto settings =
            fuchsiaquay::load_entry_settings(arguments.config, arguments.overrides);
        log.set_level(settings.log_level);
        log.write(level::info, "settings_reloaded", {{"level", settings.log_level}});
    } catch (const fuchsiaquay::operation_error& error) {
        log.write(level::error, "settings_refused", {{"reason", error.what()}});
    }
}

/// Polls the settings file and reloads it after a change, without a signal.
void reload_when_changed(fuchsiaquay::control_loop& loop, const command_line& arguments,
                         fuchsiaquay::log4cxx_decision_log& log) {
    const auto modification_time = [&arguments] {
        struct stat file {};
        return stat(arguments.config.c_str(), &file) == 0 ? file.st_mtim.tv_sec : 0;
    };
    loop.every(settings_check_period, [&, modification_time, last = modification_time()]() mutable {
        const auto current = modification_time();
        if (current != last) {
            last = current;
            reload(arguments, log);
        }
    });
}

void wait_for_reload(boost::asio::signal_set& signals, const command_line& arguments,
                     fuchsiaquay::log4cxx_decision_log& log) {
    signals.async_wait([&](const boost::system::error_code& error, int /*signal*/) {
        if (!error) {
            reload(arguments, log);
            wait_for_reload(signals, arguments, log);
        }
    });
}

/// Returns large blocks, such as bodies, to the system as soon as they are released.
void return_large_blocks() {
#ifdef __GLIBC__
    constexpr int large_block_bytes = 262'144;
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    mallopt(M_TRIM_THRESHOLD, 2 * large_block_bytes);
#endif
}

void run_entry(const command_line& arguments, const fuchsiaquay::entry_settings& settings) {
    return_large_blocks();
    std::signal(SIGPIPE, SIG_IGN);
    fuchsiaquay::write_line_at_crash(settings.host);
    fuchsiaquay::control_loop loop;
    fuchsiaquay::log4cxx_decision_log log(settings.host, settings.log_level);
    boost::asio::signal_set stop_signals(loop.context(), SIGTERM, SIGINT);
    boost::asio::signal_set reload_signals(loop.context(), SIGHUP);
    fuchsiaquay::entry_node node(settings, loop, log);
    stop_signals.async_wait([&](const boost::system::error_code& error, int /*signal*/) {
        if (!error) {
            node.drain([&loop] { loop.stop(); });
        }
    });
    wait_for_reload(reload_signals, arguments, log);
    reload_when_changed(loop, arguments, log);
    loop.run();
}

}  // namespace

int main(int argc, char** argv) {
    const command_line arguments = parse_command_line(argc, argv);
    if (arguments.exit_now) {
        return arguments.exit_code;
    }
    try {
        if (arguments.entry) {
            const auto settings =
                fuchsiaquay::load_entry_settings(arguments.config, arguments.overrides);
            if (!arguments.check_only) {
                run_entry(arguments, settings);
            }
        } else {
            const auto settings =
                fuchsiaquay::load_node_settings(arguments.config, arguments.overrides);
            if (!arguments.check_only) {
                run_node(settings);
            }
        }
        if (arguments.check_only) {
            std::cout << "settings are valid\n";
        }
        return exit_ok;
    } catch (const fuchsiaquay::settings_error& error) {
        for (const std::string& fault : error.faults()) {
            std::cerr << fault << "\n";
        }
        return exit_bad_settings;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return exit_failed;
    }
}
