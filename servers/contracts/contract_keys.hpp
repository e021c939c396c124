#pragma once

/// @file
/// Keys of the store that hold contracts. A transaction changes at most one contract, and with it
/// the index key and the history of that contract.

#include <string>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Prefix of the contracts and of the index key, and of nothing else.
constexpr const char* contracts_watch_prefix = "fuchsiaquay/contracts";
constexpr const char* contract_prefix = "fuchsiaquay/contracts/";
/// Its last write is the latest change to any contract.
constexpr const char* contracts_index_key = "fuchsiaquay/contracts_index";
constexpr const char* contract_history_prefix = "fuchsiaquay/contract_history/";

inline std::string contract_key(const customer_id& customer) {
    return contract_prefix + customer.value();
}

inline std::string contract_history_key(const customer_id& customer) {
    return contract_history_prefix + customer.value();
}

/// Customer whose contract `key` holds; empty when it is another key.
inline customer_id customer_of_key(const std::string& key) {
    const std::string prefix = contract_prefix;
    if (key.compare(0, prefix.size(), prefix) != 0) {
        return customer_id();
    }
    return customer_id(key.substr(prefix.size()));
}

}  // namespace fuchsiaquay
