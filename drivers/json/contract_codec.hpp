#pragma once

/// @file
/// Contracts as JSON text, the form that operators write and the store keeps:
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

/// Longest contract text that is read, in bytes. It leaves room in a store value of 1 MB.
constexpr std::size_t max_contract_bytes = 131072;

/// Contract in `json`, with its ranks sorted by level.
/// @param revision  store revision of the text, 0 where it is not stored yet
/// @throws contract_error  names the first field that breaks a rule
contract parse_contract(const std::string& json, std::int64_t revision);

/// JSON text of `value` on one line. The same contract always gives the same text. The revision
/// is not part of it.
std::string print_contract(const contract& value);

}  // namespace fuchsiaquay
