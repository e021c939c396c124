#pragma once

/// @file
/// Operators' records of upstreams as JSON, as stored under `fuchsiaquay/upstreams/<id>`:
///
///     {"id":"engine-7", "wish":"serve|drain|remove", "kind":"engine", "address":"10.0.0.7",
///      "port":8000, "data_centre":"west", "models":["assistant-7b"], "checks_orders":true,
///      "memory_tokens":400000}
///
/// A record without an address holds only the wished state (`wish`) of an upstream that is known
/// otherwise. `service` is present only for the kind "service".

#include <string>

#include "core/upstreams/operator_upstream.hpp"

namespace fuchsiaquay {

/// Prefix of the store keys.
constexpr const char* operator_upstream_prefix = "fuchsiaquay/upstreams/";

/// @throws json_error  names the invalid field
operator_upstream parse_operator_upstream(const std::string& json);
std::string print_operator_upstream(const operator_upstream& record);

}  // namespace fuchsiaquay
