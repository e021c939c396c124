#pragma once

#include <deque>

#include "core/scheduling/queue_policy.hpp"

namespace fuchsiaquay {

/// First come, first served, regardless of level, customer and prompt length. Baseline for
/// measurements.
class fifo_policy final : public queue_policy {
public:
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

private:
    std::deque<queued_request> waiting_;
    double short_cost_ = 0.0;
    double long_cost_ = 0.0;
};

}  // namespace fuchsiaquay
