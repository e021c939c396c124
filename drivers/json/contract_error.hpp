#pragma once

#include <string>
#include <utility>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay {

/// Thrown for an invalid contract text. Names the field and the allowed values.
class contract_error : public operation_error {
public:
    /// @param customer  customer of the contract, or "local" if it is not known
    /// @param field     path of the field, for example "ranks[1].floor_share"; empty for the
    ///                  whole text
    /// @param allowed   the fault and the allowed values
    contract_error(const std::string& customer, std::string field, const std::string& allowed)
        : operation_error("parse contract", customer,
                          field.empty() ? allowed : field + ": " + allowed),
          field_(std::move(field)) {}

    const std::string& field() const noexcept { return field_; }

private:
    std::string field_;
};

}  // namespace fuchsiaquay
