#include "core/scheduling/fair_rank_policy.hpp"

#include <algorithm>

#include "core/scheduling/admission_check.hpp"

namespace fuchsiaquay {
namespace {

/// Credit and debt of a level are limited to what its floor provides in this many seconds.
constexpr double credit_seconds = 6.0;
/// A level is served first once its credit exceeds this many seconds of its floor.
constexpr double due_seconds = 0.3;
/// Short prompts yield to a long prefill once the credit of its level exceeds this many seconds of
/// its floor.
constexpr double long_due_seconds = 3.0;
/// The floor of a level with a long prompt in prefill is multiplied by this factor, up to
/// `max_long_floor`, because the level has such a prompt on only a part of the fleet.
constexpr double long_floor_factor = 2.0;
constexpr double max_long_floor = 0.5;
/// Estimates assume at least this fraction of the upstream's speed.
constexpr double min_speed_share = 0.02;

constexpr double min_weight = 1e-6;

constexpr int level_step = 10;
/// Base priorities. Short prompts of customers over their share come after all other short prompts,
/// and long prompts come after these.
constexpr int over_share_base = 50;
constexpr int long_base = 100;
constexpr int over_share_step = 5;

/// Upper bounds of the prompt size classes in tokens. At the engine, prompts of a smaller class
/// precede larger ones of the same level.
constexpr std::int64_t size_steps[] = {4096, 8192, 16384};

int size_class(std::int64_t tokens) {
    int size = 0;
    for (const std::int64_t step : size_steps) {
        size += tokens > step ? 1 : 0;
    }
    return size;
}

double long_floor(double floor_share) {
    return std::min(floor_share * long_floor_factor, max_long_floor);
}

}  // namespace

fair_rank_policy::fair_rank_policy(double tokens_per_second)
    : tokens_per_second_(tokens_per_second), shares_(tokens_per_second) {}

void fair_rank_policy::push(const queued_request& queued, instant now) {
    level_state& state = levels_[queued.request.level];
    settle_credit(state, now);
    state.floor_share = std::max(state.floor_share, queued.request.floor_share);
    lane& current = state.lanes[queued.is_long ? 1 : 0];
    flow& customer_flow = current.flows[queued.request.customer];
    customer_flow.weight = std::max(queued.request.weight, min_weight);
    shares_.set_weight(queued.request.customer, queued.request.level, customer_flow.weight);
    const double start_tag = std::max(current.virtual_time, customer_flow.finish_tag);
    customer_flow.finish_tag = start_tag + queued.cost / customer_flow.weight;
    customer_flow.waiting.push_back(tagged_request{queued, start_tag});
    current.waiting_cost += queued.cost;
    ++current.waiting_count;
    index_[queued.request.request.value()] = {queued.request.level, queued.is_long};
}

std::optional<queued_request> fair_rank_policy::remove(const request_id& request) {
    const auto place = index_.find(request.value());
    if (place == index_.end()) {
        return std::nullopt;
    }
    lane& current = levels_[place->second.first].lanes[place->second.second ? 1 : 0];
    index_.erase(place);
    for (auto& [customer, customer_flow] : current.flows) {
        const auto found = std::find_if(customer_flow.waiting.begin(), customer_flow.waiting.end(),
                                        [&request](const tagged_request& each) {
                                            return each.queued.request.request == request;
                                        });
        if (found == customer_flow.waiting.end()) {
            continue;
        }
        const queued_request removed = found->queued;
        const double cost = removed.cost;
        for (auto later = found + 1; later != customer_flow.waiting.end(); ++later) {
            later->start_tag -= cost / customer_flow.weight;
        }
        customer_flow.finish_tag -= cost / customer_flow.weight;
        current.waiting_cost -= cost;
        --current.waiting_count;
        customer_flow.waiting.erase(found);
        return removed;
    }
    return std::nullopt;
}

bool fair_rank_policy::contains(const request_id& request) const {
    return index_.count(request.value()) > 0;
}

std::optional<policy_pick> fair_rank_policy::pop(const admission_check& admission_check,
                                                 instant now) {
    for (const bool is_long : {false, true}) {
        bool blocked = false;
        for (const bool over_share : {false, true}) {
            std::optional<policy_pick> pick =
                pop_lane(admission_check, is_long, over_share, now, blocked);
            if (pick || blocked) {
                if (pick) {
                    return pick;
                }
                break;
            }
        }
    }
    return std::nullopt;
}

std::optional<policy_pick> fair_rank_policy::pop_lane(const admission_check& admission_check,
                                                      bool is_long, bool over_share, instant now,
                                                      bool& blocked) {
    for (const int level : level_order(now)) {
        level_state& state = levels_[level];
        lane& current = state.lanes[is_long ? 1 : 0];
        flow* chosen = next_flow(current, over_share, now);
        if (chosen == nullptr && !over_share && is_due(state, now)) {
            chosen = next_flow(current, true, now);
        }
        if (chosen == nullptr) {
            continue;
        }
        const queued_request& head = chosen->waiting.front().queued;
        const admission_terms wanted = terms(head, now);
        if (!admission_check.fits(head, wanted)) {
            blocked = true;
            return std::nullopt;
        }
        return take_front(state, current, *chosen, wanted, now);
    }
    return std::nullopt;
}

admission_terms fair_rank_policy::terms(const queued_request& queued, instant now) const {
    const int level = queued.request.level;
    admission_terms result;
    const auto found = levels_.find(level);
    if (found != levels_.end()) {
        result.floor_due = is_due(found->second, now);
    }
    result.over_share = is_over_share(queued, now);
    if (queued.is_long) {
        result.engine_priority =
            long_base + level * level_step + (result.over_share ? over_share_step : 0);
        return result;
    }
    const int base = level * level_step + (result.over_share ? over_share_base : 0);
    result.engine_priority = (result.floor_due ? 0 : base) + size_class(queued.prefill_tokens);
    return result;
}

double fair_rank_policy::queued_work_before(const queued_request& queued) const {
    const auto found = levels_.find(queued.request.level);
    if (found == levels_.end()) {
        return 0.0;
    }
    const lane& current = found->second.lanes[queued.is_long ? 1 : 0];
    const auto customer_flow = current.flows.find(queued.request.customer);
    const double own_tag = customer_flow == current.flows.end()
                               ? current.virtual_time
                               : std::max(current.virtual_time, customer_flow->second.finish_tag);
    double before = 0.0;
    for (const auto& [customer, each] : current.flows) {
        for (const tagged_request& waiting : each.waiting) {
            if (waiting.start_tag > own_tag) {
                break;
            }
            before += waiting.queued.cost;
        }
    }
    return before;
}

double fair_rank_policy::urgent_usage(int level, instant now) const {
    double usage = 0.0;
    for (const auto& [other, state] : levels_) {
        if (other < level) {
            usage += state.short_usage.at(now);
        }
    }
    return usage;
}

double fair_rank_policy::expected_speed(const queued_request& queued, double speed,
                                        instant now) const {
    double left = speed - urgent_usage(queued.request.level, now);
    if (queued.is_long) {
        for (const auto& [level, state] : levels_) {
            left -= level >= queued.request.level ? state.short_usage.at(now) : 0.0;
        }
    }
    const double owed =
        queued.is_long ? long_floor(queued.request.floor_share) : queued.request.floor_share;
    return std::max({left, owed * speed, min_speed_share * speed});
}

duration fair_rank_policy::expected_wait(const queued_request& queued, double speed,
                                         instant now) const {
    double urgent = 0.0;
    for (const auto& [level, state] : levels_) {
        if (level < queued.request.level) {
            urgent += state.lanes[queued.is_long ? 1 : 0].waiting_cost;
        }
    }
    const double by_order =
        (urgent + queued_work_before(queued)) / expected_speed(queued, speed, now);
    const double floor_speed = speed * (queued.is_long ? long_floor(queued.request.floor_share)
                                                       : queued.request.floor_share);
    const double by_floor = floor_speed > 0.0 ? queued_work_before(queued) / floor_speed : by_order;
    return from_seconds(std::min(by_order, by_floor));
}

void fair_rank_policy::record_served_work(int level, bool is_long, double tokens, instant now) {
    level_state& state = levels_[level];
    settle_credit(state, now);
    state.credit -= tokens;
    (is_long ? state.long_usage : state.short_usage).add(tokens, now);
}

void fair_rank_policy::set_long_prefill_level(int level, instant now) {
    for (auto& [other, state] : levels_) {
        if (state.long_in_prefill != (other == level)) {
            settle_credit(state, now);
            state.long_in_prefill = other == level;
        }
    }
}

bool fair_rank_policy::long_floor_due(int level, instant now) const {
    const auto found = levels_.find(level);
    return found != levels_.end() && owed_seconds(found->second, now) > long_due_seconds;
}

const queued_request* fair_rank_policy::next_long() const {
    for (const auto& [level, state] : levels_) {
        const tagged_request* first = nullptr;
        for (const auto& [customer, customer_flow] : state.lanes[1].flows) {
            if (!customer_flow.waiting.empty() &&
                (first == nullptr || customer_flow.waiting.front().start_tag < first->start_tag)) {
                first = &customer_flow.waiting.front();
            }
        }
        if (first != nullptr) {
            return &first->queued;
        }
    }
    return nullptr;
}

std::vector<std::pair<int, double>> fair_rank_policy::floors() const {
    std::vector<std::pair<int, double>> known;
    for (const auto& [level, state] : levels_) {
        known.emplace_back(level, state.floor_share);
    }
    return known;
}

std::size_t fair_rank_policy::size() const {
    return index_.size();
}

double fair_rank_policy::queued_cost(bool is_long) const {
    double cost = 0.0;
    for (const auto& [level, state] : levels_) {
        cost += state.lanes[is_long ? 1 : 0].waiting_cost;
    }
    return cost;
}

fair_rank_policy::flow* fair_rank_policy::next_flow(lane& current, bool over_share,
                                                    instant now) const {
    flow* first = nullptr;
    for (auto& [customer, customer_flow] : current.flows) {
        if (customer_flow.waiting.empty()) {
            continue;
        }
        if (is_over_share(customer_flow.waiting.front().queued, now) != over_share) {
            continue;
        }
        if (first == nullptr ||
            customer_flow.waiting.front().start_tag < first->waiting.front().start_tag) {
            first = &customer_flow;
        }
    }
    return first;
}

bool fair_rank_policy::is_over_share(const queued_request& queued, instant now) const {
    return shares_.over_share(queued.request.customer, queued.request.level, queued.is_long, now);
}

std::vector<int> fair_rank_policy::level_order(instant now) const {
    std::vector<std::pair<double, int>> keys;
    for (const auto& [level, state] : levels_) {
        if (!state.waiting()) {
            continue;
        }
        const bool due = is_due(state, now);
        keys.emplace_back(
            due ? -credit_at(state, now) / state.floor_share : static_cast<double>(level), level);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<int> order;
    order.reserve(keys.size());
    for (const auto& [key, level] : keys) {
        order.push_back(level);
    }
    return order;
}

double fair_rank_policy::floor_speed(const level_state& state) const {
    return tokens_per_second_ *
           (state.long_in_prefill ? long_floor(state.floor_share) : state.floor_share);
}

double fair_rank_policy::credit_at(const level_state& state, instant now) const {
    const double speed = floor_speed(state);
    const double bound = speed * credit_seconds;
    const double earned = state.credit + speed * to_seconds(now - state.credit_at);
    // A level without work accumulates no credit.
    const bool has_work = state.waiting() || state.long_in_prefill;
    return std::clamp(earned, -bound, has_work ? bound : 0.0);
}

double fair_rank_policy::owed_seconds(const level_state& state, instant now) const {
    const double speed = floor_speed(state);
    return speed > 0.0 ? credit_at(state, now) / speed : 0.0;
}

bool fair_rank_policy::is_due(const level_state& state, instant now) const {
    return owed_seconds(state, now) > due_seconds;
}

void fair_rank_policy::settle_credit(level_state& state, instant now) {
    state.credit = credit_at(state, now);
    state.credit_at = now;
}

policy_pick fair_rank_policy::take_front(level_state& state, lane& current, flow& chosen,
                                         const admission_terms& wanted, instant now) {
    settle_credit(state, now);
    policy_pick pick{chosen.waiting.front().queued, wanted};
    current.virtual_time = std::max(current.virtual_time, chosen.waiting.front().start_tag);
    shares_.add_usage(pick.queued.request.customer, pick.queued.request.level, pick.queued.is_long,
                      pick.queued.cost, now);
    chosen.recent.add(pick.queued.cost, now);
    remove_front(current, chosen);
    return pick;
}

void fair_rank_policy::remove_front(lane& current, flow& chosen) {
    const queued_request& head = chosen.waiting.front().queued;
    current.waiting_cost -= head.cost;
    --current.waiting_count;
    index_.erase(head.request.request.value());
    chosen.waiting.pop_front();
}

}  // namespace fuchsiaquay
