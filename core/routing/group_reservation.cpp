#include "core/routing/group_reservation.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {
namespace {

constexpr duration group_retry_after = std::chrono::seconds(5);

}  // namespace

group_reservation::group_reservation(const reserve_request& request, std::vector<group_part> parts,
                                     const reservation_settings& settings, std::size_t attempt,
                                     instant now)
    : request_(request),
      parts_(std::move(parts)),
      settings_(settings),
      attempt_(attempt),
      deadline_(now + request.time_left),
      wait_until_(now + std::min(attempt < settings.quick_group_attempts
                                     ? settings.acceptable_group_wait
                                     : settings.max_group_wait,
                                 request.time_left)) {}

routing_actions group_reservation::start(instant now) {
    routing_actions actions;
    if (parts_.empty()) {
        fail(group_retry_after, "no_group", actions);
        return actions;
    }
    request_next(now, actions);
    return actions;
}

routing_actions group_reservation::on_reply(const reserve_reply& reply, instant now) {
    routing_actions actions;
    const std::size_t current = grants_.size();
    if (finished_ || current >= parts_.size() || reply.request != part_request(current)) {
        for (std::size_t part = 0; part < requested_; ++part) {
            const bool is_held = std::any_of(
                grants_.begin(), grants_.end(),
                [&reply](const reserve_reply& granted) { return granted.grant == reply.grant; });
            if (reply.outcome == reserve_outcome::granted && !is_held &&
                reply.request == part_request(part)) {
                actions.releases.push_back(make_release(part, reply.grant));
            }
        }
        return actions;
    }
    if (reply.outcome == reserve_outcome::refused) {
        fail(reply.retry_after, reply.reason, actions);
        return actions;
    }
    reply_due_ = instant::max();
    if (reply.outcome == reserve_outcome::queued) {
        if (quick() && reply.start_estimate > settings_.acceptable_group_wait) {
            fail(reply.start_estimate, "group_busy", actions);
        }
        return actions;
    }
    grants_.push_back(reply);
    renew_at_ = std::min(renew_at_, now + settings_.group_renewal_interval);
    if (grants_.size() < parts_.size()) {
        if (!quick()) {
            actions.early_grants.push_back(reply);
        }
        request_next(now, actions);
        return actions;
    }
    finished_ = true;
    actions.outcome = routing_outcome{true, grants_, duration::zero(), "group"};
    return actions;
}

routing_actions group_reservation::tick(instant now) {
    routing_actions actions;
    if (finished_) {
        return actions;
    }
    if (now >= std::min(wait_until_, reply_due_)) {
        fail(group_retry_after, now >= reply_due_ ? "owner_silent" : "group_wait", actions);
    } else if (now >= renew_at_) {
        renew_all(now, actions);
    }
    return actions;
}

routing_actions group_reservation::cancel(instant /*now*/) {
    routing_actions actions;
    if (!finished_) {
        release_all(actions);
        finished_ = true;
    }
    return actions;
}

instant group_reservation::next_wakeup() const {
    return finished_ ? instant::max() : std::min({wait_until_, reply_due_, renew_at_});
}

void group_reservation::request_next(instant now, routing_actions& actions) {
    const group_part& part = parts_[requested_];
    reserve_request request = request_;
    request.request = part_request(requested_);
    request.upstream = part.upstream;
    request.prompt_tokens = part.prompt_tokens;
    request.cached_tokens = 0;
    request.memory_tokens = part.memory_tokens;
    request.expected_output_tokens = part.generates ? request_.expected_output_tokens : 0;
    request.time_left = deadline_ - now;
    reply_due_ = now + settings_.reply_timeout;
    ++requested_;
    actions.reserves.push_back(request);
}

void group_reservation::fail(duration retry_after, const std::string& reason,
                             routing_actions& actions) {
    release_all(actions);
    finished_ = true;
    actions.outcome = routing_outcome{false, {}, retry_after, reason};
}

void group_reservation::renew_all(instant now, routing_actions& actions) {
    for (std::size_t part = 0; part < grants_.size(); ++part) {
        grant_renewal renewal;
        renewal.grant = grants_[part].grant;
        renewal.request = part_request(part);
        renewal.upstream = parts_[part].upstream;
        renewal.entry_host = request_.entry_host;
        renewal.customer = request_.customer;
        renewal.level = request_.level;
        renewal.memory_tokens = parts_[part].memory_tokens;
        actions.renewals.push_back(renewal);
    }
    renew_at_ = now + settings_.group_renewal_interval;
}

void group_reservation::release_all(routing_actions& actions) {
    for (std::size_t part = 0; part < requested_; ++part) {
        const grant_id grant = part < grants_.size() ? grants_[part].grant : grant_id();
        actions.releases.push_back(make_release(part, grant));
    }
}

request_id group_reservation::part_request(std::size_t part) const {
    return request_id(request_.request.value() + "/" + std::to_string(attempt_) + "." +
                      std::to_string(part));
}

grant_release group_reservation::make_release(std::size_t part, const grant_id& grant) const {
    grant_release release;
    release.grant = grant;
    release.request = part_request(part);
    release.upstream = parts_[part].upstream;
    return release;
}

}  // namespace fuchsiaquay
