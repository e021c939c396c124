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

/// Order of the requests that wait for one upstream.
class queue_policy {
public:
    queue_policy() = default;
    queue_policy(const queue_policy&) = delete;
    queue_policy& operator=(const queue_policy&) = delete;
    virtual ~queue_policy() = default;

    virtual void push(const queued_request& queued, instant now) = 0;
    /// Takes a request out; nothing when it does not wait here.
    virtual std::optional<queued_request> remove(const request_id& request) = 0;
    virtual bool contains(const request_id& request) const = 0;
    /// Takes the next request that `gate` lets in; nothing when the next in order must wait.
    virtual std::optional<policy_pick> pop(const admission_check& gate, instant now) = 0;

    /// Terms on which `queued` would be let in now.
    virtual admission_terms terms(const queued_request& queued, instant now) const = 0;
    /// Expected time until `queued` is granted once it is pushed.
    /// @param speed  tokens a second of the upstream
    virtual duration expected_wait(const queued_request& queued, double speed,
                                   instant now) const = 0;
    /// Tokens a second that requests like `queued` can count on.
    virtual double expected_speed(const queued_request& queued, double speed,
                                  instant now) const = 0;
    /// Accounts work the engine did for a level.
    virtual void record_served_work(int level, bool is_long, double tokens, instant now) = 0;
    /// Tells which level has a long prompt in prefill at the engine, -1 for none; that level
    /// collects what it is owed although nothing of it waits here.
    virtual void set_long_prefill_level(int level, instant now) = 0;
    /// True while `level` has work and has long been served less than its floor.
    virtual bool long_floor_due(int level, instant now) const = 0;

    /// First waiting long request, for which memory is being kept; null when there is none.
    virtual const queued_request* next_long() const = 0;
    /// Known levels with their floor shares.
    virtual std::vector<std::pair<int, double>> floors() const = 0;
    virtual std::size_t size() const = 0;
    /// Work that waits, in tokens.
    virtual double queued_cost(bool is_long) const = 0;
};

}  // namespace fuchsiaquay
