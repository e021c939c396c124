#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/console/ctl_options.hpp"

namespace fuchsiaquay {

class admin_channel;

/// What a command of `fuchsiaquayctl` works with.
struct command_context {
    const ctl_options& options;
    /// Words after the command.
    std::vector<std::string> arguments;
    admin_channel& channel;
    std::ostream& out;
    std::ostream& err;
};

}  // namespace fuchsiaquay
