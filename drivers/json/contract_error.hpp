#pragma once

#include <string>
#include <utility>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// A contract text that does not meet the rules. Names the field and what is allowed there.
class contract_error : public operation_error {
public:
    /// @param customer  customer of the contract, or "local" while it is not known
    /// @param field     path of the field, for example "ranks[1].floor_share"; empty for the text
    /// @param allowed   what is wrong and what is allowed
    contract_error(const std::string& customer, std::string field, const std::string& allowed)
        : operation_error("parse contract", customer,
                          field.empty() ? allowed : field + ": " + allowed),
          field_(std::move(field)) {}

    const std::string& field() const noexcept { return field_; }

private:
    std::string field_;
};

}  // namespace fuchsiaquay
