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

/// The entry side of one reservation: asks the owner of the best upstream; when the place in the
/// queue is bad or refused, asks the next ones, keeps the best place and gives the others back.
/// Holds at most one grant. After the outcome, a late grant is released at once.
class reservation final : public reservation_protocol {
public:
    /// @param request     what to reserve; `upstream` and `cached_tokens` are set from the choices
    /// @param candidates  best first
    reservation(const reserve_request& request, std::vector<scored_candidate> candidates,
                const reservation_settings& settings, instant now);

    routing_actions start(instant now) override;
    routing_actions on_reply(const reserve_reply& reply, instant now) override;
    /// Handles owners that did not answer.
    routing_actions tick(instant now) override;
    /// The caller went away or its time is over.
    routing_actions cancel(instant now) override;
    /// When `tick` is due; `instant::max()` when no answer is awaited.
    instant next_wakeup() const override;
    bool finished() const noexcept override { return finished_; }

private:
    enum class state { awaiting, queued, over };
    struct attempt {
        scored_candidate candidate;
        state status = state::awaiting;
        duration start_estimate{};
        instant reply_due{};
    };

    void ask_next(instant now, routing_actions& actions);
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
