#include <fstream>
#include <iostream>
#include <ostream>

#include "ctl/console/command_registry.hpp"
#include "ctl/console/log_record.hpp"
#include "ctl/console/request_trace.hpp"

namespace fuchsiaquay {

namespace {

void read_log(std::istream& log, request_trace& trace) {
    for (std::string line; std::getline(log, line);) {
        if (const auto record = parse_log_record(line)) {
            trace.add(*record);
        }
    }
}

exit_code explain_request(const command_context& context) {
    request_trace trace(context.arguments.front());
    if (context.arguments.size() == 1) {
        read_log(std::cin, trace);
    }
    for (std::size_t i = 1; i < context.arguments.size(); ++i) {
        std::ifstream log(context.arguments[i]);
        if (!log) {
            context.err << "request explain: cannot read the log " << context.arguments[i] << "\n";
            return exit_code::usage;
        }
        read_log(log, trace);
    }
    if (trace.empty()) {
        context.err << "request explain: no log line mentions request " << context.arguments.front()
                    << "\n";
        return exit_code::unknown;
    }
    trace.print(context.out);
    return exit_code::done;
}

}  // namespace

void add_request_commands(command_registry& registry) {
    registry.add({"request explain", "ID [LOG...]",
                  "trace of a request from the logs of all nodes, or from standard input", 1,
                  explain_request});
}

}  // namespace fuchsiaquay
