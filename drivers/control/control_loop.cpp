#include "drivers/control/control_loop.hpp"

#include <time.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <utility>

namespace fuchsiaquay {

namespace asio = boost::asio;

class control_loop::state {
public:
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_ =
        asio::make_work_guard(context_);
    std::map<subscription, std::shared_ptr<timer>> timers_;
    subscription last_id_ = 0;
    std::function<void(const std::string& reason)> on_error_;
};

struct control_loop::timer {
    timer(state& owner, duration repeat, callback on_expiry)
        : clock(owner.context_),
          period(repeat),
          action(std::move(on_expiry)),
          id(++owner.last_id_) {}

    asio::steady_timer clock;
    duration period;
    callback action;
    subscription id;
    bool cancelled = false;
};

control_loop::control_loop() : state_(std::make_shared<state>()) {}

control_loop::~control_loop() {
    stop();
    state_->timers_.clear();
}

instant control_loop::now() const {
    // CLOCK_MONOTONIC stops while the host is suspended, but leases in the store keep expiring.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) +
                                                        std::chrono::nanoseconds(time.tv_nsec)));
}

void control_loop::arm(const std::shared_ptr<state>& owner, const std::shared_ptr<timer>& entry) {
    // The loop's context owns the handler, so the handler must not own the loop's state.
    entry->clock.async_wait(
        [weak = std::weak_ptr<state>(owner), entry](const boost::system::error_code& error) {
            const std::shared_ptr<state> owner = weak.lock();
            if (error || entry->cancelled || !owner) {
                return;
            }
            const bool repeats = entry->period > duration::zero();
            if (repeats) {
                // The next period starts now, so that a late wake-up does not cause a burst of
                // runs.
                entry->clock.expires_after(entry->period);
                arm(owner, entry);
            } else {
                owner->timers_.erase(entry->id);
            }
            entry->action();
        });
}

timer_service::subscription control_loop::every(duration period, callback action) {
    auto entry = std::make_shared<timer>(*state_, period, std::move(action));
    state_->timers_[entry->id] = entry;
    entry->clock.expires_after(period);
    arm(state_, entry);
    return entry->id;
}

timer_service::subscription control_loop::after(duration delay, callback action) {
    auto entry = std::make_shared<timer>(*state_, duration::zero(), std::move(action));
    state_->timers_[entry->id] = entry;
    entry->clock.expires_after(delay);
    arm(state_, entry);
    return entry->id;
}

void control_loop::cancel(subscription id) {
    const auto found = state_->timers_.find(id);
    if (found == state_->timers_.end()) {
        return;
    }
    found->second->cancelled = true;
    found->second->clock.cancel();
    state_->timers_.erase(found);
}

void control_loop::post(std::function<void()> work) {
    asio::post(state_->context_, std::move(work));
}

void control_loop::run() {
    while (true) {
        try {
            state_->context_.run();
            return;
        } catch (const std::exception& error) {
            // The failed handler is not run again; the work it belonged to ends by its own
            // time-outs.
            if (!state_->on_error_) {
                throw;
            }
            state_->on_error_(error.what());
        }
    }
}

void control_loop::on_error(std::function<void(const std::string& reason)> error) {
    state_->on_error_ = std::move(error);
}

void control_loop::stop() {
    state_->guard_.reset();
    state_->context_.stop();
}

asio::io_context& control_loop::context() {
    return state_->context_;
}

}  // namespace fuchsiaquay
