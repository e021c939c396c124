#pragma once

#include <map>

#include "core/identity/names.hpp"
#include "core/scheduling/decaying_rate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// What each customer has used of one upstream of late against its weight. A request is compared at
/// its level: with the customer's use at this and more urgent levels, as a part of the upstream,
/// and with its weight among the customers seen at these levels. Short and long prompts are told
/// apart, so that one long prompt does not set back a customer's short ones.
class customer_shares {
public:
    /// @param tokens_per_second  speed of the upstream
    explicit customer_shares(double tokens_per_second);

    /// The customer has a request of this level.
    void set_weight(const customer_id& customer, int level, double weight);
    void add_usage(const customer_id& customer, int level, bool is_long, double tokens,
                   instant now);
    /// True when the customer has used clearly more than its share.
    bool over_share(const customer_id& customer, int level, bool is_long, instant now) const;

private:
    struct level_use {
        decaying_rate short_use{std::chrono::seconds(30)};
        decaying_rate long_use{std::chrono::seconds(300)};
    };
    struct customer_use {
        double weight = 0.0;
        std::map<int, level_use> levels;
    };

    double tokens_per_second_;
    std::map<customer_id, customer_use> customers_;
    /// Weights of the customers by the most urgent level at which they were seen.
    std::map<int, double> weights_;
};

}  // namespace fuchsiaquay
