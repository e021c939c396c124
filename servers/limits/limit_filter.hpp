#pragma once

#include <map>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"
#include "servers/requests/request_filter.hpp"

namespace fuchsiaquay {

class limit_service;
class timer_service;

/// Refuses requests that exceed the customer's limits with status 429 and a retry time; they are
/// not run. A request that can be admitted within `smoothing_limit` of its first attempt is delayed
/// instead.
class limit_filter final : public request_filter {
public:
    /// Maximum delay of a request to meet a rate limit.
    static constexpr duration smoothing_limit = std::chrono::milliseconds(100);

    limit_filter(timer_service& timers, limit_service& limits) : timers_(timers), limits_(limits) {}

    void admit(const std::shared_ptr<request_flow>& flow,
               const filter_callbacks& callbacks) override;
    void finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result) override;

private:
    void try_admit(const std::shared_ptr<request_flow>& flow, const filter_callbacks& callbacks,
                   instant deadline);

    timer_service& timers_;
    limit_service& limits_;
    /// Estimated tokens of each admitted request that has not ended.
    std::map<request_id, double> admitted_;
};

}  // namespace fuchsiaquay
