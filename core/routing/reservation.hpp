#pragma once

#include <cstddef>
#include <vector>

#include "core/messages/reserve_reply.hpp"
#include "core/messages/reserve_request.hpp"
#include "core/routing/reservation_protocol.hpp"
#include "core/routing/reservation_settings.hpp"
#include "core/routing/routing_actions.hpp"
#include "core/routing/scored_candidate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Entry host side of a reservation on one engine. Sends a request to the owner of the best
/// upstream. If it is refused or the expected wait is too long, also sends requests to the next
/// upstreams, keeps the queue position with the shortest wait and releases the others. Holds at
/// most one grant. A grant that arrives after the outcome is released immediately.
class reservation final : public reservation_protocol {
public:
    /// @param request     template; `upstream` and `cached_tokens` are set from the candidates
    /// @param candidates  sorted by preference, the best one first
    reservation(const reserve_request& request, std::vector<scored_candidate> candidates,
                const reservation_settings& settings, instant now);

    routing_actions start(instant now) override;
    routing_actions on_reply(const reserve_reply& reply, instant now) override;
    /// Handles owners that did not reply in time.
    routing_actions tick(instant now) override;
    /// Ends the reservation because the caller disconnected or its deadline passed.
    routing_actions cancel(instant now) override;
    /// Time at which `tick` is due; `instant::max()` if no reply is expected.
    instant next_wakeup() const override;
    bool finished() const noexcept override { return finished_; }

private:
    enum class state { awaiting, queued, ended };
    struct attempt {
        scored_candidate candidate;
        state status = state::awaiting;
        duration start_estimate{};
        instant reply_due{};
    };

    void request_next(instant now, routing_actions& actions);
    void keep_best(routing_actions& actions);
    void finish_if_refused(routing_actions& actions);
    bool awaiting() const;
    grant_release make_release(const upstream_id& upstream, const grant_id& grant) const;

    reserve_request request_;
    std::vector<scored_candidate> candidates_;
    reservation_settings settings_;
    instant deadline_{};
    std::vector<attempt> attempts_;
    duration retry_after_ = duration::max();
    std::string reason_ = "no_upstream";
    bool finished_ = false;
};

}  // namespace fuchsiaquay
