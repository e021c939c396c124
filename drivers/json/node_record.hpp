#pragma once

#include <string>

#include "core/messages/member_update.hpp"

namespace fuchsiaquay {

/// JSON text under which a host leases its address in the store:
/// `{"host","address","peer_port","http_port","data_centre","incarnation"}`.
std::string print_node_record(const member_update& host);

/// @throws operation_error on a text of another form
member_update parse_node_record(const std::string& text);

}  // namespace fuchsiaquay
