#pragma once

/// @file
/// Contracts as JSON text, as operators write them and the store holds them:
///
///     {"customer":"greenline", "weight":1.0, "keys":["<SHA-256 in lower-case hexadecimal>"],
///      "limits":{"requests_per_second":50, "tokens_per_second":20000, "concurrent_requests":100},
///      "ranks":[{"name":"urgent", "level":0, "floor_share":0.2,
///                "first_token_target_ms":330, "deadline_ms":30000}],
///      "models":["assistant-7b"],
///      "services":[{"service":"orders", "repeatable":false, "deadline_ms":10000}]}
///
/// `customer` and `ranks` are required.

#include <cstdint>
#include <string>

#include "core/contract/contract.hpp"
#include "drivers/json/contract_error.hpp"

namespace fuchsiaquay {

/// Maximum size of a contract text. Leaves space in a store value, which is limited to 1 MB.
constexpr std::size_t max_contract_bytes = 131072;

/// Parses a contract; its ranks are sorted by level.
/// @param revision  store revision of the text; 0 if it is not stored yet
/// @throws contract_error  names the first invalid field
contract parse_contract(const std::string& json, std::int64_t revision);

/// Returns `value` as JSON text on one line, without the revision. Equal contracts give equal
/// texts.
std::string print_contract(const contract& value);

}  // namespace fuchsiaquay
