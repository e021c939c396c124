#include "ctl/console/command_registry.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace fuchsiaquay {
namespace {

constexpr int name_width = 44;

std::size_t word_count(const std::string& name) {
    return 1 + static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

bool matches(const ctl_command& command, const std::vector<std::string>& words) {
    const std::size_t count = word_count(command.name);
    if (words.size() < count) {
        return false;
    }
    return command.name == (count == 1 ? words[0] : words[0] + " " + words[1]);
}

}  // namespace

exit_code command_registry::run(const ctl_options& options, admin_channel& channel,
                                std::ostream& out, std::ostream& err) const {
    if (options.help) {
        print_help(out);
        return exit_code::done;
    }
    const auto found =
        std::find_if(commands_.begin(), commands_.end(),
                     [&options](const ctl_command& each) { return matches(each, options.words); });
    if (found == commands_.end()) {
        err << "fuchsiaquayctl: unknown command; --help lists them\n";
        return exit_code::usage;
    }
    const auto first = static_cast<std::ptrdiff_t>(word_count(found->name));
    const std::vector<std::string> arguments(options.words.begin() + first, options.words.end());
    if (arguments.size() < found->min_arguments) {
        err << "usage: fuchsiaquayctl " << found->name << " " << found->arguments << "\n";
        return exit_code::usage;
    }
    return found->run(command_context{options, arguments, channel, out, err});
}

void command_registry::print_help(std::ostream& out) const {
    out << "usage: fuchsiaquayctl [OPTION]... COMMAND [ARGUMENT]...\n\ncommands:\n";
    for (const ctl_command& command : commands_) {
        out << "  " << std::left << std::setw(name_width) << command.name + " " + command.arguments
            << command.summary << "\n";
    }
    out << "\noptions:\n"
           "  --node ADDRESS:PORT   node to ask; repeat it for more, the next one is tried when\n"
           "                        one does not answer (or FUCHSIAQUAY_NODES, with commas)\n"
           "  --token-file FILE     operator token (or FUCHSIAQUAY_TOKEN)\n"
           "  --output table|json   form of the answer, table by default\n"
           "  --dry-run             check a change and write nothing\n"
           "  --timeout SECONDS     longest wait for a node, 15 by default\n"
           "  --revision N          change only this revision of a contract\n"
           "  --interval SECONDS    pause of watch, 2 by default; --count N ends it\n"
           "\nexit codes:\n"
           "  0 done  1 refused by the node  2 wrong usage  3 conflict with another change\n"
           "  4 no node answered  5 the change may or may not be in force  6 diff found "
           "differences\n";
}

}  // namespace fuchsiaquay
