#pragma once

/// @file
/// Rendezvous (highest random weight) hashing: removing a host reassigns only the keys of that
/// host.

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// At most `count` hosts of `candidates`, in descending order of their weight for `key`.
/// The result does not depend on the order of `candidates`.
std::vector<host_id> rendezvous_order(std::string_view key, const std::vector<host_id>& candidates,
                                      std::size_t count);

/// First host of `rendezvous_order`, or an empty id if there are no candidates.
host_id rendezvous_owner(std::string_view key, const std::vector<host_id>& candidates);

}  // namespace fuchsiaquay
