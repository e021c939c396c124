#include "core/placement/engine_load.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <vector>

#include "core/placement/pass_timing.hpp"

namespace fuchsiaquay {

namespace {

/// An engine processes the prompts that arrive during a pass in the next pass and answers them at
/// its end. A short prompt therefore counts as pending until its first event, but no longer than
/// this limit, which exceeds the duration of any pass.
constexpr duration short_prefill_limit = std::chrono::milliseconds(500);

/// Sort key of a waiting request in the queue order that all hosts share.
auto waiting_rank(const engine_work& work, instant now) {
    const bool comes_last =
        work.dispatched_at < now || work.prefill_time > very_long_prefill_threshold;
    return std::make_tuple(comes_last, work.rank, work.dispatched_at, work.key);
}

}  // namespace

void engine_load::apply(const std::string& host, const engine_work& work) {
    if (work.phase == work_phase::ended) {
        remove(host, work.key);
        return;
    }
    work_items_[{host, work.key}] = work;
}

void engine_load::remove(const std::string& host, std::uint64_t key) {
    work_items_.erase({host, key});
}

void engine_load::remove_host(const std::string& host) {
    const auto first = work_items_.lower_bound({host, 0});
    const auto last = work_items_.upper_bound({host, std::numeric_limits<std::uint64_t>::max()});
    work_items_.erase(first, last);
}

int engine_load::requests() const {
    return static_cast<int>(
        std::count_if(work_items_.begin(), work_items_.end(),
                      [](const auto& item) { return item.second.generates(); }));
}

int engine_load::decoding_requests() const {
    return static_cast<int>(
        std::count_if(work_items_.begin(), work_items_.end(), [](const auto& item) {
            return item.second.generates() && item.second.phase == work_phase::decode;
        }));
}

std::int64_t engine_load::decoding_context_tokens() const {
    std::int64_t total = 0;
    for (const auto& [key, work] : work_items_) {
        if (work.generates() && work.phase == work_phase::decode) {
            total += work.memory_tokens;
        }
    }
    return total;
}

std::int64_t engine_load::memory_tokens() const {
    std::int64_t total = 0;
    for (const auto& [key, work] : work_items_) {
        total += work.memory_tokens;
    }
    return total;
}

duration engine_load::pending_prefill(instant now) const {
    duration not_started{};
    instant finished_at{};
    for (const engine_work* work : works_in_prefill()) {
        if (work->prefill_time <= long_prefill_threshold &&
            now - work->dispatched_at < short_prefill_limit) {
            not_started += work->prefill_time;
        } else {
            finished_at = std::max(finished_at, work->dispatched_at) + work->prefill_time;
        }
    }
    return std::max(duration::zero(), finished_at - now) + not_started;
}

bool engine_load::reads_long_prompt() const {
    return std::any_of(work_items_.begin(), work_items_.end(), [](const auto& item) {
        const engine_work& work = item.second;
        return work.phase == work_phase::prefill &&
               (!work.generates() || work.prefill_time > long_prefill_threshold);
    });
}

duration engine_load::overdue(instant now) const {
    instant last_answered = instant::min();
    for (const auto& [key, work] : work_items_) {
        if (work.phase == work_phase::decode && work.generates()) {
            last_answered = std::max(last_answered, work.dispatched_at);
        }
    }
    duration longest{};
    instant finished_at{};
    for (const engine_work* work : works_in_prefill()) {
        finished_at = std::max(finished_at, work->dispatched_at) + work->prefill_time;
        if (work->dispatched_at >= last_answered) {
            longest = std::max(longest, now - finished_at);
        }
    }
    return longest;
}

std::vector<const engine_work*> engine_load::works_in_prefill() const {
    std::vector<const engine_work*> result;
    for (const auto& [key, work] : work_items_) {
        if (work.phase == work_phase::prefill) {
            result.push_back(&work);
        }
    }
    std::sort(result.begin(), result.end(), [](const engine_work* a, const engine_work* b) {
        return a->dispatched_at < b->dispatched_at;
    });
    return result;
}

duration engine_load::min_target_gap() const {
    duration smallest = duration::max();
    for (const auto& [key, work] : work_items_) {
        if (work.generates()) {
            smallest = std::min(smallest, work.target_gap);
        }
    }
    return smallest;
}

int engine_load::requests_with_gap_below(duration pass) const {
    return static_cast<int>(
        std::count_if(work_items_.begin(), work_items_.end(), [pass](const auto& item) {
            return item.second.generates() && item.second.target_gap < pass;
        }));
}

bool engine_load::claim_lost(const engine_work& own) const {
    return std::any_of(work_items_.begin(), work_items_.end(), [&own](const auto& item) {
        const engine_work& work = item.second;
        // The smaller key takes precedence, so that all hosts resolve the conflict in the same way.
        return work.phase == work_phase::prefill && work.dispatched_at >= own.dispatched_at &&
               work.key < own.key;
    });
}

std::vector<std::int64_t> engine_load::prompts_waiting_before(const engine_work& own,
                                                              instant now) const {
    const auto rank = waiting_rank(own, now);
    std::vector<const engine_work*> ahead;
    for (const auto& [key, work] : work_items_) {
        if (work.phase == work_phase::waiting && waiting_rank(work, now) < rank) {
            ahead.push_back(&work);
        }
    }
    std::sort(ahead.begin(), ahead.end(), [now](const engine_work* a, const engine_work* b) {
        return waiting_rank(*a, now) < waiting_rank(*b, now);
    });
    std::vector<std::int64_t> tokens;
    tokens.reserve(ahead.size());
    for (const engine_work* work : ahead) {
        tokens.push_back(work->prefill_tokens);
    }
    return tokens;
}

}  // namespace fuchsiaquay
