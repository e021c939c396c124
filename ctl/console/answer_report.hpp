#pragma once

#include "ctl/console/admin_channel.hpp"
#include "ctl/console/console.hpp"
#include "ctl/console/exit_code.hpp"

namespace fuchsiaquay {

/// Exit code for an answer; writes the error, if any, to the error stream.
exit_code report_failure(const console& at, const admin_channel::answer& answer);

}  // namespace fuchsiaquay
