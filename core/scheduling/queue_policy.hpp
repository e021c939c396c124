#pragma once

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "core/identity/names.hpp"
#include "core/scheduling/admission_terms.hpp"
#include "core/scheduling/policy_pick.hpp"
#include "core/scheduling/queued_request.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

class admission_check;

/// Decides the order in which the requests that wait for one upstream are granted.
class queue_policy {
public:
    queue_policy() = default;
    queue_policy(const queue_policy&) = delete;
    queue_policy& operator=(const queue_policy&) = delete;
    virtual ~queue_policy() = default;

    virtual void push(const queued_request& queued, instant now) = 0;
    /// Removes a waiting request; returns nothing if it is not in the queue.
    virtual std::optional<queued_request> remove(const request_id& request) = 0;
    virtual bool contains(const request_id& request) const = 0;
    /// Removes and returns the next request if `admission_check` accepts it; returns nothing if the
    /// next in order has to wait.
    virtual std::optional<policy_pick> pop(const admission_check& admission_check, instant now) = 0;

    /// Terms on which `queued` would be admitted now.
    virtual admission_terms terms(const queued_request& queued, instant now) const = 0;
    /// Expected time until `queued` is granted once it is pushed.
    /// @param speed  speed of the upstream in tokens per second
    virtual duration expected_wait(const queued_request& queued, double speed,
                                   instant now) const = 0;
    /// Speed in tokens per second that requests like `queued` can rely on.
    virtual double expected_speed(const queued_request& queued, double speed,
                                  instant now) const = 0;
    /// Charges work that the engine has done to a level.
    virtual void record_served_work(int level, bool is_long, double tokens, instant now) = 0;
    /// Sets the level that has a long prompt in prefill at the engine, -1 for none. That level
    /// accumulates credit towards its floor even without waiting requests.
    virtual void set_long_prefill_level(int level, instant now) = 0;
    /// True if `level` has work and its credit shows that it was served less than its floor for
    /// long.
    virtual bool long_floor_due(int level, instant now) const = 0;

    /// First waiting long request, for which memory is being reserved; null if there is none.
    virtual const queued_request* next_long() const = 0;
    /// Known levels and their floors as fractions of the upstream.
    virtual std::vector<std::pair<int, double>> floors() const = 0;
    virtual std::size_t size() const = 0;
    /// Total cost of the waiting long or short requests, in tokens.
    virtual double queued_cost(bool is_long) const = 0;
};

}  // namespace fuchsiaquay
