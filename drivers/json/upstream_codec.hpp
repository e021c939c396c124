#pragma once

/// @file
/// Operators' records about upstreams as JSON, the values of the store keys
/// `fuchsiaquay/upstreams/<id>`:
///
///     {"id":"engine-7", "wish":"serve|drain|remove", "kind":"engine", "address":"10.0.0.7",
///      "port":8000, "data_centre":"west", "models":["assistant-7b"], "checks_orders":true,
///      "memory_tokens":400000}
///
/// A record without an address only states the wish; `service` belongs to kind "service".

#include <string>

#include "core/upstreams/operator_upstream.hpp"

namespace fuchsiaquay {

/// Prefix of the store keys.
constexpr const char* operator_upstream_prefix = "fuchsiaquay/upstreams/";

/// @throws json_error  names the field that breaks a rule
operator_upstream parse_operator_upstream(const std::string& json);
std::string print_operator_upstream(const operator_upstream& record);

}  // namespace fuchsiaquay
