#pragma once

#include <cstdint>
#include <string>

#include "core/contract/contract.hpp"
#include "servers/contracts/contract_history.hpp"

namespace fuchsiaquay {

/// Converts contracts and their history to and from their text form in the store. Every function
/// throws `operation_error` if the text is invalid.
class contract_format {
public:
    contract_format() = default;
    contract_format(const contract_format&) = delete;
    contract_format& operator=(const contract_format&) = delete;
    virtual ~contract_format() = default;

    virtual contract parse(const std::string& text, std::int64_t revision) const = 0;
    virtual std::string print(const contract& value) const = 0;
    virtual contract_history parse_history(const std::string& text) const = 0;
    virtual std::string print_history(const contract_history& value) const = 0;
    /// Number of changes stored in the index key.
    virtual std::int64_t parse_index(const std::string& text) const = 0;
    virtual std::string print_index(std::int64_t changes) const = 0;
};

}  // namespace fuchsiaquay
