#include "core/placement/engine_load.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <vector>

#include "core/placement/pass_timing.hpp"

namespace fuchsiaquay {

namespace {

/// Prompts that came during a pass are all read in the next one and answered at its end: until its
/// first event a short prompt counts as unread, unless it has taken longer than any pass.
constexpr duration short_read_limit = std::chrono::milliseconds(500);

auto waiting_place(const engine_work& work, instant now) {
    const bool last = work.dispatched_at < now || work.prefill_time > very_long_prefill_threshold;
    return std::make_tuple(last, work.dispatched_at, work.key);
}

}  // namespace

void engine_load::apply(const std::string& host, const engine_work& work) {
    if (work.phase == work_phase::ended) {
        remove(host, work.key);
        return;
    }
    works_[{host, work.key}] = work;
}

void engine_load::remove(const std::string& host, std::uint64_t key) {
    works_.erase({host, key});
}

void engine_load::remove_host(const std::string& host) {
    const auto first = works_.lower_bound({host, 0});
    const auto last = works_.upper_bound({host, std::numeric_limits<std::uint64_t>::max()});
    works_.erase(first, last);
}

int engine_load::requests() const {
    return static_cast<int>(std::count_if(
        works_.begin(), works_.end(), [](const auto& item) { return item.second.generates(); }));
}

int engine_load::decoding_requests() const {
    return static_cast<int>(std::count_if(works_.begin(), works_.end(), [](const auto& item) {
        return item.second.generates() && item.second.phase == work_phase::decode;
    }));
}

std::int64_t engine_load::decoding_context_tokens() const {
    std::int64_t total = 0;
    for (const auto& [key, work] : works_) {
        if (work.generates() && work.phase == work_phase::decode) {
            total += work.memory_tokens;
        }
    }
    return total;
}

std::int64_t engine_load::memory_tokens() const {
    std::int64_t total = 0;
    for (const auto& [key, work] : works_) {
        total += work.memory_tokens;
    }
    return total;
}

duration engine_load::pending_prefill(instant now) const {
    std::vector<const engine_work*> reading;
    duration unread{};
    for (const auto& [key, work] : works_) {
        if (work.phase != work_phase::prefill) {
            continue;
        }
        if (work.prefill_time <= long_prefill_threshold &&
            now - work.dispatched_at < short_read_limit) {
            unread += work.prefill_time;
        } else {
            reading.push_back(&work);
        }
    }
    std::sort(reading.begin(), reading.end(), [](const engine_work* a, const engine_work* b) {
        return a->dispatched_at < b->dispatched_at;
    });
    instant done{};
    for (const engine_work* work : reading) {
        done = std::max(done, work->dispatched_at) + work->prefill_time;
    }
    return std::max(duration::zero(), done - now) + unread;
}

duration engine_load::min_target_gap() const {
    duration smallest = duration::max();
    for (const auto& [key, work] : works_) {
        if (work.generates()) {
            smallest = std::min(smallest, work.target_gap);
        }
    }
    return smallest;
}

int engine_load::requests_with_gap_below(duration pass) const {
    return static_cast<int>(std::count_if(works_.begin(), works_.end(), [pass](const auto& item) {
        return item.second.generates() && item.second.target_gap < pass;
    }));
}

bool engine_load::contested(const engine_work& own) const {
    return std::any_of(works_.begin(), works_.end(), [&own](const auto& item) {
        const engine_work& work = item.second;
        // All hosts let the same one of two go first.
        return work.phase == work_phase::prefill && work.dispatched_at >= own.dispatched_at &&
               work.key < own.key;
    });
}

std::vector<std::int64_t> engine_load::prompts_waiting_before(const engine_work& own,
                                                              instant now) const {
    const auto place = waiting_place(own, now);
    std::vector<const engine_work*> ahead;
    for (const auto& [key, work] : works_) {
        if (work.phase == work_phase::waiting && waiting_place(work, now) < place) {
            ahead.push_back(&work);
        }
    }
    std::sort(ahead.begin(), ahead.end(), [now](const engine_work* a, const engine_work* b) {
        return waiting_place(*a, now) < waiting_place(*b, now);
    });
    std::vector<std::int64_t> tokens;
    tokens.reserve(ahead.size());
    for (const engine_work* work : ahead) {
        tokens.push_back(work->prefill_tokens);
    }
    return tokens;
}

}  // namespace fuchsiaquay
