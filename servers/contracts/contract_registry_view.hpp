#pragma once

#include <memory>
#include <string>

#include "core/contract/contract_registry.hpp"
#include "servers/views/contract_view.hpp"

namespace fuchsiaquay {

/// Gives request filters read access to a contract registry.
class contract_registry_view final : public contract_view {
public:
    explicit contract_registry_view(const contract_registry& registry) : registry_(registry) {}

    std::shared_ptr<const contract> find_by_key(const std::string& key_digest) const override {
        return registry_.table()->find_by_key(key_digest);
    }
    std::shared_ptr<const contract> find(const customer_id& customer) const override {
        return registry_.table()->find(customer);
    }
    bool ready() const override { return registry_.caught_up(); }

private:
    const contract_registry& registry_;
};

}  // namespace fuchsiaquay
