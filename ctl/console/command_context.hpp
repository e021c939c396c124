#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/console/ctl_options.hpp"

namespace fuchsiaquay {

class admin_channel;

/// Options, arguments, connection and output streams of a running `fuchsiaquayctl` command.
struct command_context {
    const ctl_options& options;
    /// Words after the command name.
    std::vector<std::string> arguments;
    admin_channel& channel;
    std::ostream& out;
    std::ostream& err;
};

}  // namespace fuchsiaquay
