#pragma once

#include <memory>
#include <string>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

struct contract;

/// Read access to the contracts in force on this node.
class contract_view {
public:
    contract_view() = default;
    contract_view(const contract_view&) = delete;
    contract_view& operator=(const contract_view&) = delete;
    virtual ~contract_view() = default;

    /// Contract that contains the caller key with this SHA-256 digest; null if there is none.
    virtual std::shared_ptr<const contract> find_by_key(const std::string& key_digest) const = 0;
    virtual std::shared_ptr<const contract> find(const customer_id& customer) const = 0;
    /// False until the node has caught up with the store once.
    virtual bool ready() const = 0;
};

}  // namespace fuchsiaquay
