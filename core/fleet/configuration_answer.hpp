#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// A configuration that one host sends to another on request.
struct configuration_answer {
    /// Store revision at which it was written; 0 if no configuration was returned.
    std::int64_t revision = 0;
    /// Revision of the configuration to which `body` is a text delta; 0 if `body` is the whole
    /// text.
    std::int64_t base = 0;
    std::string body;
};

}  // namespace fuchsiaquay
