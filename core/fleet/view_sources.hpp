#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/fleet/host_record.hpp"
#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Number of hosts of a data centre from which one can choose a source and another one if it fails.
constexpr std::size_t min_view_sources = 2;

/// The hosts of a data centre that watch the store and tell the others what changed: those with the
/// largest processor share. Small hosts are late when they are busy, and their links are full while
/// many hosts fetch a large configuration. All hosts of the data centre if there are fewer than
/// `min_view_sources` large ones.
std::vector<host_id> view_sources(const std::vector<host_record>& hosts,
                                  const std::string& data_centre);

}  // namespace fuchsiaquay
