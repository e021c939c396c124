#pragma once

/// @file
/// Store keys of contracts. A transaction changes at most one contract, together with the index key
/// and the history of that contract.

#include <string>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Common prefix of the contracts and the index key. No other keys have it.
constexpr const char* contracts_watch_prefix = "fuchsiaquay/contracts";
constexpr const char* contract_prefix = "fuchsiaquay/contracts/";
/// Written with every change, so that its revision is that of the latest change to any contract.
constexpr const char* contracts_index_key = "fuchsiaquay/contracts_index";
constexpr const char* contract_history_prefix = "fuchsiaquay/contract_history/";

inline std::string contract_key(const customer_id& customer) {
    return contract_prefix + customer.value();
}

inline std::string contract_history_key(const customer_id& customer) {
    return contract_history_prefix + customer.value();
}

/// Customer of a contract key; empty if `key` is not the key of a contract.
inline customer_id customer_of_key(const std::string& key) {
    const std::string prefix = contract_prefix;
    if (key.compare(0, prefix.size(), prefix) != 0) {
        return customer_id();
    }
    return customer_id(key.substr(prefix.size()));
}

}  // namespace fuchsiaquay
