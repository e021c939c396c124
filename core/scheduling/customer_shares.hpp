#pragma once

#include <map>

#include "core/identity/names.hpp"
#include "core/scheduling/decaying_rate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Compares the recent usage of one upstream by each customer with the customer's weight. For a
/// request of a given level, usage is the customer's use of this and more urgent levels as a
/// fraction of the upstream, and weight is its fraction of the weights of all customers seen at
/// these levels. Short and long prompts are counted separately, so that one long prompt does not
/// put a customer's short prompts behind those of others.
class customer_shares {
public:
    /// @param tokens_per_second  speed of the upstream
    explicit customer_shares(double tokens_per_second);

    /// Records the weight of a customer that has sent a request of this level.
    void set_weight(const customer_id& customer, int level, double weight);
    void add_usage(const customer_id& customer, int level, bool is_long, double tokens,
                   instant now);
    /// Returns true if the customer has recently used clearly more than its share.
    bool over_share(const customer_id& customer, int level, bool is_long, instant now) const;

private:
    struct level_usage {
        decaying_rate short_usage{std::chrono::seconds(30)};
        decaying_rate long_usage{std::chrono::seconds(300)};
    };
    struct customer_usage {
        double weight = 0.0;
        std::map<int, level_usage> levels;
    };

    double tokens_per_second_;
    std::map<customer_id, customer_usage> customers_;
    /// Weights of the customers by the most urgent level at which they were seen.
    std::map<int, double> weights_;
};

}  // namespace fuchsiaquay
