#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/contract/contract.hpp"

namespace fuchsiaquay {

/// Snapshot of the contracts in force. Immutable, so that traffic threads can share it.
class contract_table {
public:
    contract_table() = default;
    explicit contract_table(std::vector<std::shared_ptr<const contract>> contracts);

    /// Contract of a customer; null if there is none.
    std::shared_ptr<const contract> find(const customer_id& customer) const;
    /// Contract that contains the SHA-256 digest of a caller key; null if there is none. If several
    /// contracts contain it, the first one in the order of customer names is returned.
    std::shared_ptr<const contract> find_by_key(const std::string& digest) const;
    /// All contracts in the order of customer names.
    const std::vector<std::shared_ptr<const contract>>& all() const noexcept { return contracts_; }

private:
    std::vector<std::shared_ptr<const contract>> contracts_;
    std::map<customer_id, std::size_t> by_customer_;
    std::map<std::string, std::size_t> by_key_;
};

}  // namespace fuchsiaquay
