#pragma once

#include "servers/contracts/contract_format.hpp"

namespace fuchsiaquay {

/// Contracts and their history as JSON.
class json_contract_format final : public contract_format {
public:
    contract parse(const std::string& text, std::int64_t revision) const override;
    std::string print(const contract& value) const override;
    contract_history parse_history(const std::string& text) const override;
    std::string print_history(const contract_history& value) const override;
    std::int64_t parse_index(const std::string& text) const override;
    std::string print_index(std::int64_t changes) const override;
};

}  // namespace fuchsiaquay
