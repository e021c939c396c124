#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Virtual time: runs actions in the order of their instants, then in the order of entry.
class event_loop {
public:
    using action = std::function<void()>;

    instant now() const noexcept { return now_; }

    void run_at(instant when, action what) {
        events_.push(event{std::max(when, now_), ++last_, std::move(what)});
    }
    void run_after(duration delay, action what) { run_at(now_ + delay, std::move(what)); }

    /// Runs until `end` or until nothing is left.
    void run_until(instant end) {
        while (!events_.empty() && events_.top().when <= end) {
            event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.what();
        }
        now_ = std::max(now_, end);
    }

private:
    struct event {
        instant when{};
        std::uint64_t order = 0;
        action what;
        bool operator<(const event& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    instant now_{};
    std::uint64_t last_ = 0;
    std::priority_queue<event> events_;
};

}  // namespace fuchsiaquay
