#pragma once

#include <string>

#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// Returns the JSON text that a host stores with a lease to publish its address:
/// `{"host","address","peer_port","http_port","data_centre","incarnation"}`.
std::string print_node_record(const member_update& host);

/// @throws operation_error  if the text is malformed
member_update parse_node_record(const std::string& text);

}  // namespace fuchsiaquay
