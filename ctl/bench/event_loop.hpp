#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Event loop in virtual time. Runs actions by time; actions of the same time run in the order in
/// which they were added.
class event_loop {
public:
    using action = std::function<void()>;

    instant now() const noexcept { return now_; }

    void run_at(instant time, action callback) {
        events_.push(event{std::max(time, now_), ++last_order_, std::move(callback)});
    }
    void run_after(duration delay, action callback) { run_at(now_ + delay, std::move(callback)); }

    /// Runs every action that is due by `end` and then sets the time to `end`.
    void run_until(instant end) {
        while (!events_.empty() && events_.top().time <= end) {
            event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.callback();
        }
        now_ = std::max(now_, end);
    }

private:
    struct event {
        instant time{};
        std::uint64_t order = 0;
        action callback;
        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    instant now_{};
    std::uint64_t last_order_ = 0;
    std::priority_queue<event> events_;
};

}  // namespace fuchsiaquay
