#pragma once

#include <string>

namespace fuchsiaquay {

/// From now on, a fatal signal (for example SIGSEGV or SIGABRT) writes the log line `crashed` to
/// standard output before it ends the process. Buffered lines of the log are lost then.
/// @param host  for the line
void write_line_at_crash(const std::string& host);

}  // namespace fuchsiaquay
