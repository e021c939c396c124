#pragma once

#include "servers/requests/request_filter.hpp"

namespace fuchsiaquay {

class contract_view;

/// Authenticates the caller key and applies the contract to the request: determines the rank and
/// the deadline, and checks that the contract allows the model or service.
class contract_filter final : public request_filter {
public:
    explicit contract_filter(const contract_view& contracts) : contracts_(contracts) {}

    void admit(const std::shared_ptr<request_flow>& flow,
               const filter_callbacks& callbacks) override;

private:
    const contract_view& contracts_;
};

}  // namespace fuchsiaquay
