#include "core/routing/reservation.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {
namespace {

constexpr duration default_retry_after = std::chrono::seconds(1);

}  // namespace

reservation::reservation(const reserve_request& request, std::vector<scored_candidate> candidates,
                         const reservation_settings& settings, instant now)
    : request_(request),
      candidates_(std::move(candidates)),
      settings_(settings),
      deadline_(now + request.time_left) {}

routing_actions reservation::start(instant now) {
    routing_actions actions;
    request_next(now, actions);
    finish_if_refused(actions);
    return actions;
}

routing_actions reservation::on_reply(const reserve_reply& reply, instant now) {
    routing_actions actions;
    const auto replied = std::find_if(
        attempts_.begin(), attempts_.end(),
        [&reply](const attempt& current) { return current.candidate.upstream == reply.upstream; });
    if (replied == attempts_.end()) {
        return actions;
    }
    const bool ended = finished_ || replied->status == state::ended;
    if (reply.outcome == reserve_outcome::granted) {
        if (ended) {
            actions.releases.push_back(make_release(reply.upstream, reply.grant));
            return actions;
        }
        replied->status = state::ended;
        for (attempt& other : attempts_) {
            if (other.status != state::ended) {
                actions.releases.push_back(make_release(other.candidate.upstream, grant_id()));
                other.status = state::ended;
            }
        }
        finished_ = true;
        actions.outcome = routing_outcome{true, {reply}, duration::zero(), reply.reason};
        return actions;
    }
    if (ended) {
        return actions;
    }
    if (reply.outcome == reserve_outcome::refused) {
        replied->status = state::ended;
        retry_after_ = std::min(retry_after_, reply.retry_after);
        reason_ = reply.reason;
        request_next(now, actions);
    } else {
        replied->status = state::queued;
        replied->start_estimate = reply.start_estimate;
        if (reply.start_estimate > settings_.acceptable_wait) {
            request_next(now, actions);
        }
    }
    keep_best(actions);
    finish_if_refused(actions);
    return actions;
}

routing_actions reservation::tick(instant now) {
    routing_actions actions;
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
        if (attempts_[i].status == state::awaiting && attempts_[i].reply_due <= now) {
            attempts_[i].status = state::ended;
            actions.releases.push_back(make_release(attempts_[i].candidate.upstream, grant_id()));
            reason_ = "owner_silent";
            request_next(now, actions);
        }
    }
    keep_best(actions);
    finish_if_refused(actions);
    return actions;
}

routing_actions reservation::cancel(instant /*now*/) {
    routing_actions actions;
    for (attempt& current : attempts_) {
        if (current.status != state::ended) {
            actions.releases.push_back(make_release(current.candidate.upstream, grant_id()));
            current.status = state::ended;
        }
    }
    finished_ = true;
    return actions;
}

instant reservation::next_wakeup() const {
    instant next = instant::max();
    for (const attempt& current : attempts_) {
        if (current.status == state::awaiting) {
            next = std::min(next, current.reply_due);
        }
    }
    return next;
}

void reservation::request_next(instant now, routing_actions& actions) {
    if (finished_ || attempts_.size() >= settings_.max_attempts ||
        attempts_.size() >= candidates_.size()) {
        return;
    }
    const scored_candidate& next = candidates_[attempts_.size()];
    attempts_.push_back(
        attempt{next, state::awaiting, duration::zero(), now + settings_.reply_timeout});
    reserve_request request = request_;
    request.upstream = next.upstream;
    request.cached_tokens = std::min(next.cached_tokens, request.prompt_tokens - 1);
    request.time_left = deadline_ - now;
    actions.reserves.push_back(request);
}

void reservation::keep_best(routing_actions& actions) {
    if (finished_ || awaiting()) {
        return;
    }
    attempt* best = nullptr;
    for (attempt& current : attempts_) {
        if (current.status == state::queued &&
            (best == nullptr || current.start_estimate < best->start_estimate)) {
            best = &current;
        }
    }
    for (attempt& current : attempts_) {
        if (current.status == state::queued && &current != best) {
            actions.releases.push_back(make_release(current.candidate.upstream, grant_id()));
            current.status = state::ended;
        }
    }
}

void reservation::finish_if_refused(routing_actions& actions) {
    const bool pending =
        std::any_of(attempts_.begin(), attempts_.end(),
                    [](const attempt& current) { return current.status != state::ended; });
    if (finished_ || pending) {
        return;
    }
    finished_ = true;
    const duration retry_after =
        retry_after_ == duration::max() ? default_retry_after : retry_after_;
    actions.outcome = routing_outcome{false, {}, retry_after, reason_};
}

bool reservation::awaiting() const {
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](const attempt& current) { return current.status == state::awaiting; });
}

grant_release reservation::make_release(const upstream_id& upstream, const grant_id& grant) const {
    grant_release release;
    release.grant = grant;
    release.request = request_.request;
    release.upstream = upstream;
    return release;
}

}  // namespace fuchsiaquay
