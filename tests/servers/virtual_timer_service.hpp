#pragma once

#include <map>
#include <utility>

#include "servers/timer_service.hpp"

namespace fuchsiaquay {

/// Timer service in virtual time. `advance` runs the callbacks that are due, in order.
class virtual_timer_service final : public timer_service {
public:
    instant now() const override { return now_; }

    subscription every(duration period, callback action) override {
        return add(period, period, std::move(action));
    }

    subscription after(duration delay, callback action) override {
        return add(delay, duration::zero(), std::move(action));
    }

    void cancel(subscription id) override {
        for (auto it = due_.begin(); it != due_.end(); ++it) {
            if (it->second.id == id) {
                due_.erase(it);
                return;
            }
        }
    }

    /// Advances time by `span` and calls each due callback at its own time.
    void advance(duration span) {
        const instant end = now_ + span;
        while (!due_.empty() && due_.begin()->first <= end) {
            now_ = due_.begin()->first;
            entry current = due_.begin()->second;
            due_.erase(due_.begin());
            if (current.period > duration::zero()) {
                due_.emplace(now_ + current.period, current);
            }
            current.action();
        }
        now_ = end;
    }

    /// Suspends the process for `span`: the clock advances, but timers do not count this time.
    void suspend(duration span) {
        std::multimap<instant, entry> later;
        for (const auto& [due_time, item] : due_) {
            later.emplace(due_time + span, item);
        }
        due_ = std::move(later);
        now_ += span;
    }

private:
    struct entry {
        subscription id = 0;
        duration period{};
        callback action;
    };

    subscription add(duration delay, duration period, callback action) {
        const subscription id = ++last_id_;
        due_.emplace(now_ + delay, entry{id, period, std::move(action)});
        return id;
    }

    instant now_{};
    subscription last_id_ = 0;
    std::multimap<instant, entry> due_;
};

}  // namespace fuchsiaquay
