#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// A configuration as one host hands it to another.
struct configuration_answer {
    /// Revision of the store at which it was written; 0 when none was given.
    std::int64_t revision = 0;
    /// Revision of the configuration that `body` is a text delta to; 0 when it is the whole text.
    std::int64_t base = 0;
    std::string body;
};

}  // namespace fuchsiaquay
