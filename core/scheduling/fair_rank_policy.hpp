#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/scheduling/customer_shares.hpp"
#include "core/scheduling/decaying_rate.hpp"
#include "core/scheduling/queue_policy.hpp"

namespace fuchsiaquay {

/// Serves levels by urgency and guarantees each level its floor. Within a level, customers share
/// tokens by weight through start-time fair queueing. Short and long prompts wait in separate
/// lanes, so that neither blocks the other.
///
/// A level that has waiting work and is served less than its floor accumulates credit and is served
/// first until the credit is used. Capacity that a level leaves unused goes to the other levels.
/// The level regains it with its next request, whose engine priority places it ahead of work
/// already granted to less urgent levels.
class fair_rank_policy : public queue_policy {
public:
    /// @param tokens_per_second  speed of the upstream; floors are fractions of it
    explicit fair_rank_policy(double tokens_per_second);

    void push(const queued_request& queued, instant now) override;
    std::optional<queued_request> remove(const request_id& request) override;
    bool contains(const request_id& request) const override;
    std::optional<policy_pick> pop(const admission_check& admission_check, instant now) override;
    admission_terms terms(const queued_request& queued, instant now) const override;
    duration expected_wait(const queued_request& queued, double speed, instant now) const override;
    double expected_speed(const queued_request& queued, double speed, instant now) const override;
    void record_served_work(int level, bool is_long, double tokens, instant now) override;
    void set_long_prefill_level(int level, instant now) override;
    bool long_floor_due(int level, instant now) const override;
    const queued_request* next_long() const override;
    std::vector<std::pair<int, double>> floors() const override;
    std::size_t size() const override;
    double queued_cost(bool is_long) const override;

protected:
    struct tagged_request {
        queued_request queued;
        double start_tag = 0.0;
    };
    struct flow {
        std::deque<tagged_request> waiting;
        double finish_tag = 0.0;
        double weight = 1.0;
        /// Recently granted work.
        decaying_rate recent{std::chrono::seconds(1)};
    };
    /// The short or the long prompts of one level.
    struct lane {
        std::map<customer_id, flow> flows;
        double virtual_time = 0.0;
        double waiting_cost = 0.0;
        std::size_t waiting_count = 0;
    };
    struct level_state {
        lane lanes[2];
        double floor_share = 0.0;
        /// Tokens by which the level is behind its floor; negative when it is ahead.
        double credit = 0.0;
        instant credit_at{};
        decaying_rate short_usage{std::chrono::seconds(5)};
        decaying_rate long_usage{std::chrono::seconds(5)};
        /// A long prompt of the level is in prefill at the engine.
        bool long_in_prefill = false;
        bool waiting() const { return lanes[0].waiting_count + lanes[1].waiting_count > 0; }
    };

    /// Returns the flow of a lane to serve next, considering only customers over their share if
    /// `over_share` is set and only customers within it otherwise; null if none has waiting
    /// requests.
    virtual flow* next_flow(lane& current, bool over_share, instant now) const;
    /// Levels with waiting requests, in the order in which they may be served.
    virtual std::vector<int> level_order(instant now) const;
    /// True if `queued` has to be served after the requests of customers within their share.
    virtual bool is_over_share(const queued_request& queued, instant now) const;

    const std::map<int, level_state>& levels() const { return levels_; }
    double tokens_per_second() const { return tokens_per_second_; }

private:
    double floor_speed(const level_state& state) const;
    double credit_at(const level_state& state, instant now) const;
    double owed_seconds(const level_state& state, instant now) const;
    bool is_due(const level_state& state, instant now) const;
    void settle_credit(level_state& state, instant now);
    policy_pick take_front(level_state& state, lane& current, flow& chosen,
                           const admission_terms& wanted, instant now);
    std::optional<policy_pick> pop_lane(const admission_check& admission_check, bool is_long,
                                        bool over_share, instant now, bool& blocked);
    void remove_front(lane& current, flow& chosen);
    double queued_work_before(const queued_request& queued) const;
    double urgent_usage(int level, instant now) const;

    double tokens_per_second_;
    customer_shares shares_;
    std::map<int, level_state> levels_;
    std::unordered_map<std::string, std::pair<int, bool>> index_;  // request -> level, is_long
};

}  // namespace fuchsiaquay
