#include <fstream>
#include <iostream>
#include <ostream>

#include "ctl/console/command_registry.hpp"
#include "ctl/console/log_record.hpp"
#include "ctl/console/request_trace.hpp"

namespace fuchsiaquay {

namespace {

void read_log(std::istream& log, request_trace& story) {
    for (std::string line; std::getline(log, line);) {
        if (const auto record = parse_log_record(line)) {
            story.add(*record);
        }
    }
}

exit_code explain_request(const command_context& at) {
    request_trace story(at.arguments.front());
    if (at.arguments.size() == 1) {
        read_log(std::cin, story);
    }
    for (std::size_t i = 1; i < at.arguments.size(); ++i) {
        std::ifstream log(at.arguments[i]);
        if (!log) {
            at.err << "request explain: cannot read the log " << at.arguments[i] << "\n";
            return exit_code::usage;
        }
        read_log(log, story);
    }
    if (story.empty()) {
        at.err << "request explain: no line tells of request " << at.arguments.front() << "\n";
        return exit_code::unknown;
    }
    story.print(at.out);
    return exit_code::done;
}

}  // namespace

void add_request_commands(command_registry& registry) {
    registry.add({"request explain", "ID [LOG...]",
                  "the story of a request in the logs of all nodes, or in standard input", 1,
                  explain_request});
}

}  // namespace fuchsiaquay
