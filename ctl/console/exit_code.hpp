#pragma once

namespace fuchsiaquay {

/// Exit codes of `fuchsiaquayctl`, as `--help` states them.
enum class exit_code {
    done = 0,
    refused = 1,
    usage = 2,
    conflict = 3,
    unreachable = 4,
    unknown = 5,
    differs = 6,
};

}  // namespace fuchsiaquay
