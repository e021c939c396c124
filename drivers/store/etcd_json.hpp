#pragma once

/// @file
/// JSON messages of the etcd v3 gateway, which encodes keys and values as base64 and 64-bit
/// integers as strings. See package etcdserverpb in the etcd v3 API reference.

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "servers/store/read_result.hpp"
#include "servers/store/transaction.hpp"
#include "servers/store/watch_event.hpp"
#include "servers/store/write_result.hpp"

namespace fuchsiaquay {

/// Returns the first key that sorts after all keys with `prefix`, for use as `range_end`.
std::string prefix_range_end(const std::string& prefix);

/// Returns a 64-bit integer field that is encoded as a string or a number; 0 when absent.
/// @throws operation_error  the field is not an integer of 64 bits
std::int64_t integer_field(const web::json::value& object, const std::string& name);

/// Request body of `/v3/kv/range`. An empty `range_end` reads one key.
web::json::value range_request(const std::string& key, const std::string& range_end);
/// Request body of `/v3/kv/txn`.
web::json::value txn_request(const transaction& change);
/// Request body of `/v3/watch`.
web::json::value watch_request(const std::string& prefix, std::int64_t from_revision);

/// Parses a response of `/v3/kv/range`; a malformed one gives a failed result.
read_result parse_range(const web::json::value& response);
/// Parses a response of `/v3/kv/txn`; a malformed one gives an unknown outcome.
write_result parse_txn(const web::json::value& response);
/// Parses a response of `/v3/lease/grant`. Returns 0, no lease, for a malformed one.
std::int64_t parse_lease(const web::json::value& response);
/// Parses a response of `/v3/lease/keepalive`: whether the lease lives on. A malformed one says no.
bool parse_keep_alive(const web::json::value& response);
/// Parses one line of the `/v3/watch` stream.
/// @throws operation_error  the store reported an error or cancelled the watch
std::vector<watch_event> parse_watch_line(const std::string& line);

}  // namespace fuchsiaquay
