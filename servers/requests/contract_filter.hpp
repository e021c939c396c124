#pragma once

#include "servers/requests/request_filter.hpp"

namespace fuchsiaquay {

class contract_view;

/// Authenticates the caller key and settles what the contract says about the request: the rank,
/// the deadline, and whether model or service may be used.
class contract_filter final : public request_filter {
public:
    explicit contract_filter(const contract_view& contracts) : contracts_(contracts) {}

    void admit(const std::shared_ptr<request_flow>& flow,
               const filter_callbacks& callbacks) override;

private:
    const contract_view& contracts_;
};

}  // namespace fuchsiaquay
