#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay::scenarios {

/// UUID of version 7: the time in its first 48 bits, `random` in the rest.
std::string make_uuid_v7(std::int64_t at_ms, std::uint64_t random);

}  // namespace fuchsiaquay::scenarios
