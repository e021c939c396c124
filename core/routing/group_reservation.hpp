#pragma once

#include <cstddef>
#include <vector>

#include "core/messages/reserve_reply.hpp"
#include "core/messages/reserve_request.hpp"
#include "core/routing/group_part.hpp"
#include "core/routing/reservation_protocol.hpp"
#include "core/routing/reservation_settings.hpp"
#include "core/routing/routing_actions.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Reserves memory on all engines of a group or on none. The parts are asked for one after the
/// other in the order of their upstream ids, the same on every host, so that two groups cannot
/// wait for each other; the wait is bounded and every path gives back what was granted.
///
/// The first attempts are quick: a part that would wait ends them with the reason `group_busy`, and
/// the entry host tries again after a pause with other engines. The last one waits.
class group_reservation final : public reservation_protocol {
public:
    /// @param request  the whole request; each part gets its own tokens and memory, and the id
    ///                 `<request>/<attempt>.<part>`
    /// @param attempt  0 for the first
    group_reservation(const reserve_request& request, std::vector<group_part> parts,
                      const reservation_settings& settings, std::size_t attempt, instant now);

    routing_actions start(instant now) override;
    routing_actions on_reply(const reserve_reply& reply, instant now) override;
    /// Renews the parts granted so far; gives up once the bounded wait is over or the owner is
    /// silent.
    routing_actions tick(instant now) override;
    routing_actions cancel(instant now) override;
    instant next_wakeup() const override;
    bool finished() const noexcept override { return finished_; }
    /// True when another attempt is worth while after this one was refused.
    bool may_retry() const noexcept override { return quick() && !parts_.empty(); }
    const std::vector<group_part>& parts() const noexcept { return parts_; }

private:
    bool quick() const noexcept { return attempt_ < settings_.quick_group_attempts; }
    void ask_next(instant now, routing_actions& actions);
    void give_up(duration retry_after, const std::string& reason, routing_actions& actions);
    void renew_all(instant now, routing_actions& actions);
    void release_all(routing_actions& actions);
    request_id part_request(std::size_t part) const;
    grant_release make_release(std::size_t part, const grant_id& grant) const;

    reserve_request request_;
    std::vector<group_part> parts_;
    reservation_settings settings_;
    std::size_t attempt_ = 0;
    instant deadline_{};
    instant give_up_at_{};
    instant reply_due_ = instant::max();
    instant renew_at_ = instant::max();
    std::vector<reserve_reply> grants_;
    std::size_t asked_ = 0;
    bool finished_ = false;
};

}  // namespace fuchsiaquay
