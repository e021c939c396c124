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

/// Reserves memory on all engines of a group or on none. The parts are requested one after the
/// other in the order of their upstream ids. The order is the same on every host, which prevents
/// deadlocks between groups. The wait is bounded, and all grants are released on failure.
///
/// The first attempts are quick: they end with the reason `group_busy` if a part would have to
/// wait, and the entry host retries after a delay with other engines. The last attempt waits.
class group_reservation final : public reservation_protocol {
public:
    /// @param request  the complete request; each part gets its own tokens and memory, and the id
    ///                 `<request>/<attempt>.<part>`
    /// @param attempt  number of the attempt, starting at 0
    group_reservation(const reserve_request& request, std::vector<group_part> parts,
                      const reservation_settings& settings, std::size_t attempt, instant now);

    routing_actions start(instant now) override;
    routing_actions on_reply(const reserve_reply& reply, instant now) override;
    /// Renews the grants held so far. Ends the reservation if the maximum wait has passed or an
    /// owner does not reply.
    routing_actions tick(instant now) override;
    routing_actions cancel(instant now) override;
    instant next_wakeup() const override;
    bool finished() const noexcept override { return finished_; }
    /// True if another attempt may follow when this one is refused.
    bool may_retry() const noexcept override { return quick() && !parts_.empty(); }
    const std::vector<group_part>& parts() const noexcept { return parts_; }

private:
    bool quick() const noexcept { return attempt_ < settings_.quick_group_attempts; }
    void request_next(instant now, routing_actions& actions);
    void fail(duration retry_after, const std::string& reason, routing_actions& actions);
    void renew_all(instant now, routing_actions& actions);
    void release_all(routing_actions& actions);
    request_id part_request(std::size_t part) const;
    grant_release make_release(std::size_t part, const grant_id& grant) const;

    reserve_request request_;
    std::vector<group_part> parts_;
    reservation_settings settings_;
    std::size_t attempt_ = 0;
    instant deadline_{};
    instant wait_until_{};
    instant reply_due_ = instant::max();
    instant renew_at_ = instant::max();
    std::vector<reserve_reply> grants_;
    std::size_t requested_ = 0;
    bool finished_ = false;
};

}  // namespace fuchsiaquay
