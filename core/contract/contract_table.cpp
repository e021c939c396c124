#include "core/contract/contract_table.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {

contract_table::contract_table(std::vector<std::shared_ptr<const contract>> contracts)
    : contracts_(std::move(contracts)) {
    std::sort(contracts_.begin(), contracts_.end(),
              [](const auto& a, const auto& b) { return a->customer < b->customer; });
    for (std::size_t i = 0; i < contracts_.size(); ++i) {
        by_customer_.emplace(contracts_[i]->customer, i);
        for (const std::string& digest : contracts_[i]->key_digests) {
            by_key_.emplace(digest, i);
        }
    }
}

std::shared_ptr<const contract> contract_table::find(const customer_id& customer) const {
    const auto found = by_customer_.find(customer);
    return found == by_customer_.end() ? nullptr : contracts_[found->second];
}

std::shared_ptr<const contract> contract_table::find_by_key(const std::string& digest) const {
    const auto found = by_key_.find(digest);
    return found == by_key_.end() ? nullptr : contracts_[found->second];
}

}  // namespace fuchsiaquay
