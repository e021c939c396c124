#pragma once

/// @file
/// JSON of the etcd v3 gateway: base64 keys and values, 64-bit integers as text.
/// Source: the etcd v3 API reference, messages of package etcdserverpb.

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "servers/store/read_result.hpp"
#include "servers/store/transaction.hpp"
#include "servers/store/watch_event.hpp"
#include "servers/store/write_result.hpp"

namespace fuchsiaquay {

/// First key after every key that starts with `prefix`.
std::string prefix_range_end(const std::string& prefix);

/// 64-bit integer field, written as text or as a number; 0 when absent.
/// Throws std::exception kinds when it is neither.
std::int64_t integer_field(const web::json::value& object, const std::string& name);

/// Body of `/v3/kv/range`. An empty `range_end` reads one key.
web::json::value range_request(const std::string& key, const std::string& range_end);
/// Body of `/v3/kv/txn`.
web::json::value txn_request(const transaction& change);
/// Body of `/v3/watch`.
web::json::value watch_request(const std::string& prefix, std::int64_t from_revision);

/// Answer of `/v3/kv/range`; a malformed one is a failure.
read_result parse_range(const web::json::value& answer);
/// Answer of `/v3/kv/txn`; a malformed one is of unknown outcome.
write_result parse_txn(const web::json::value& answer);
/// One line of `/v3/watch`. Throws operation_error when the watch was cancelled by the store.
std::vector<watch_event> parse_watch_line(const std::string& line);

}  // namespace fuchsiaquay
