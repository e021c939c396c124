#pragma once

#include "ctl/console/admin_channel.hpp"
#include "ctl/console/command_context.hpp"
#include "ctl/console/exit_code.hpp"

namespace fuchsiaquay {

/// Returns the exit code for a response and writes its error, if any, to the error stream.
exit_code report_failure(const command_context& context, const admin_channel::response& response);

}  // namespace fuchsiaquay
