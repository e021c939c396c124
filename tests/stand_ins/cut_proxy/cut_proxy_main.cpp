/// @file
/// A TCP proxy for manual use. Reads commands from standard input, one per line: cut,
/// silence, part, join, refuse, accept, delay MILLISECONDS. Exits at the end of the input.

#include <iostream>
#include <sstream>

#include "tests/stand_ins/cut_proxy/cut_proxy.hpp"
#include "tests/stand_ins/support/options.hpp"

using namespace fuchsiaquay::stand_ins;

int main(int argc, char** argv) {
    options settings({{"port", "0"}, {"target-port", "9200"}});
    settings.parse(argc, argv);
    cut_proxy proxy(static_cast<std::uint16_t>(settings.number("port")),
                    static_cast<std::uint16_t>(settings.number("target-port")));
    std::cout << "ready " << proxy.port() << std::endl;
    std::string line;
    while (std::getline(std::cin, line)) {
        std::istringstream words(line);
        std::string command;
        std::int64_t value = 0;
        words >> command >> value;
        if (command == "cut") {
            proxy.cut();
        } else if (command == "silence") {
            proxy.silence();
        } else if (command == "part" || command == "join") {
            proxy.part(command == "part");
        } else if (command == "refuse" || command == "accept") {
            proxy.refuse(command == "refuse");
        } else if (command == "delay") {
            proxy.delay(std::chrono::milliseconds(value));
        } else {
            std::cerr << "unknown command: " << command << '\n';
        }
    }
}
