#pragma once

#include <map>

#include "core/identity/names.hpp"
#include "servers/requests/request_filter.hpp"

namespace fuchsiaquay {

class limit_service;

/// Refuses requests beyond the limits of the customer: 429, not run, with a time to come back.
class limit_filter final : public request_filter {
public:
    explicit limit_filter(limit_service& limits) : limits_(limits) {}

    void admit(const std::shared_ptr<request_flow>& flow, const verdict& decide) override;
    void settle(const std::shared_ptr<request_flow>& flow, const attempt_result& result) override;

private:
    limit_service& limits_;
    /// Estimated tokens of each request that was admitted and has not ended.
    std::map<request_id, double> admitted_;
};

}  // namespace fuchsiaquay
