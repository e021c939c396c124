#pragma once

#include <string>
#include <vector>

namespace fuchsiaquay::testing {

/// Status codes that a response to a request cannot have.
inline const std::vector<std::string> invalid_statuses{"000", "001", "099", "600", "999"};

/// Header lines whose names are not tokens of HTTP.
inline const std::vector<std::string> malformed_field_lines{
    "X A: b",
    "X-A : b",
    "X-A\t: b",
    " X-A: b",
    "X\tA: b",
    "X-\001A: b",
    "X-A\037: b",
    "X-\177A: b",
    std::string("X-\0A: b", 7),
    "X-\200A: b",
    "X-\377A: b",
    ": b",
    "X-A",
    "Content-Length : 1",
    "Content-Length\t: 1",
    "Transfer-Encoding : chunked",
    "Content-\001Length: 1",
};

}  // namespace fuchsiaquay::testing
