#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/console/command_context.hpp"
#include "ctl/console/exit_code.hpp"

namespace fuchsiaquay {

/// One command of `fuchsiaquayctl`.
struct ctl_command {
    /// One or two words, such as "contract get".
    std::string name;
    /// Argument names for the help text.
    std::string arguments;
    std::string summary;
    std::size_t min_arguments = 0;
    std::function<exit_code(const command_context&)> run;
};

/// Commands by name. Other modules register their own, such as `bench`.
class command_registry {
public:
    void add(ctl_command command) { commands_.push_back(std::move(command)); }
    const std::vector<ctl_command>& all() const noexcept { return commands_; }

    /// Runs the command that `options.words` names.
    exit_code run(const ctl_options& options, admin_channel& channel, std::ostream& out,
                  std::ostream& err) const;
    void print_help(std::ostream& out) const;

private:
    std::vector<ctl_command> commands_;
};

/// Registers the commands for contracts and caller keys.
void add_contract_commands(command_registry& registry);
/// Registers the commands for upstreams, nodes and the state of the fleet.
void add_fleet_commands(command_registry& registry);
/// Registers the commands that read logs.
void add_request_commands(command_registry& registry);

}  // namespace fuchsiaquay
