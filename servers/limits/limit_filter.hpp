#pragma once

#include <map>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"
#include "servers/requests/request_filter.hpp"

namespace fuchsiaquay {

class limit_service;
class timer_service;

/// Refuses requests beyond the limits of the customer: 429, not run, with a time to come back. A
/// request whose turn comes within `smoothing_limit` of its first try waits for it instead.
class limit_filter final : public request_filter {
public:
    /// Longest that a request is delayed to meet a rate.
    static constexpr duration smoothing_limit = std::chrono::milliseconds(100);

    limit_filter(timer_service& timers, limit_service& limits) : timers_(timers), limits_(limits) {}

    void admit(const std::shared_ptr<request_flow>& flow,
               const filter_callbacks& callbacks) override;
    void finish(const std::shared_ptr<request_flow>& flow, const attempt_result& result) override;

private:
    void try_admit(const std::shared_ptr<request_flow>& flow, const filter_callbacks& callbacks,
                   instant give_up_at);

    timer_service& timers_;
    limit_service& limits_;
    /// Estimated tokens of each request that was admitted and has not ended.
    std::map<request_id, double> admitted_;
};

}  // namespace fuchsiaquay
