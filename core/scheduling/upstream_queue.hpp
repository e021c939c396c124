#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "core/messages/grant_release.hpp"
#include "core/messages/grant_renewal.hpp"
#include "core/messages/reserve_request.hpp"
#include "core/scheduling/estimate_error.hpp"
#include "core/scheduling/grant_table.hpp"
#include "core/scheduling/queue_policy.hpp"
#include "core/scheduling/scheduling_actions.hpp"
#include "core/scheduling/upstream_admission.hpp"
#include "core/scheduling/upstream_settings.hpp"

namespace fuchsiaquay {

struct engine_report;

/// Owner's state of one upstream: its memory, its grants and its queue.
///
/// A reservation is answered at once: it is granted, queued with an estimate, or refused with a
/// retry time. A queued reservation is answered a second time when it is granted, or refused
/// because its latest start has passed. The id of a grant is the stream id at the engine and is
/// unique over all owners and incarnations.
///
/// A new owner starts in rebuild mode: until it has read the engine's list of streams and has
/// waited `rebuild_time` for renewals, it grants at most `rebuild_memory_share` of the memory. Two
/// owners at the same time do no harm: at worst memory is granted twice and the engine refuses a
/// stream.
///
/// Functions that return `scheduling_actions` expect them to be carried out in order. `now` must
/// not decrease between calls.
class upstream_queue {
public:
    /// @param rebuilding  true for an owner that takes over from another
    upstream_queue(const upstream_settings& settings, std::unique_ptr<queue_policy> policy,
                   bool rebuilding, instant now);

    /// Idempotent by request id.
    scheduling_actions reserve(const reserve_request& request, instant now);
    /// Releases the grant of a request or removes the request from the queue. Idempotent.
    scheduling_actions release(const grant_release& release, instant now);
    /// Extends a grant. An unknown grant is registered again unless it has recently ended here.
    scheduling_actions renew(const grant_renewal& renewal, instant now);
    /// Cancels expired grants, refuses waiting requests that can no longer finish in time, and
    /// grants what fits.
    scheduling_actions tick(instant now);
    /// Reconciles the grants with the engine's complete list of streams.
    scheduling_actions observe_engine(const engine_report& report, instant now);

    /// Time at which `tick` is due next; `instant::max()` if nothing is pending.
    instant next_wakeup(instant now) const;

    bool rebuilding() const noexcept { return rebuilding_; }
    std::int64_t free_memory_tokens() const noexcept;
    std::size_t queued() const { return policy_->size(); }
    std::size_t granted() const noexcept { return grants_.size(); }
    const estimate_error& start_error() const noexcept { return start_error_; }
    const upstream_settings& settings() const noexcept { return settings_; }

private:
    upstream_admission make_admission() const;
    void update_progress(instant now);
    void dispatch(instant now, scheduling_actions& actions);
    void refuse_overdue(instant now, scheduling_actions& actions);
    void cancel_expired(instant now, scheduling_actions& actions);
    void grant(const policy_pick& pick, instant now, scheduling_actions& actions);
    void refuse(const reserve_request& request, duration retry_after, const std::string& reason,
                scheduling_actions& actions) const;
    reserve_reply make_reply(const request_id& request) const;
    queued_request make_queued(const reserve_request& request, instant now) const;
    duration service_time(const queued_request& queued, instant now) const;
    duration expected_wait(const queued_request& queued, instant now) const;
    duration retry_time(duration wait, duration slack) const;
    bool never_fits(const queued_request& queued) const;
    double prefill_speed() const;
    double total_speed() const;
    grant_id next_grant_id();

    upstream_settings settings_;
    std::unique_ptr<queue_policy> policy_;
    grant_table grants_;
    estimate_error start_error_;
    std::set<std::pair<instant, request_id>> latest_starts_;
    /// Learned ratio of the engine's speed to the configured one.
    double speed_ratio_ = 1.0;
    /// Short work that may still be granted beside a long prefill, in tokens.
    double short_allowance_ = 0.0;
    instant progress_updated_at_{};
    std::uint64_t last_grant_ = 0;
    bool rebuilding_ = false;
    bool engine_listed_ = false;
    instant started_at_{};
    std::int64_t rebuild_granted_ = 0;
};

}  // namespace fuchsiaquay
