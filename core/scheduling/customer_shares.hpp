#pragma once

#include <cstddef>
#include <map>

#include "core/identity/names.hpp"
#include "core/scheduling/decaying_rate.hpp"
#include "core/scheduling/usage_windows.hpp"
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
    /// @param windows  times over which usage is averaged
    explicit customer_shares(double tokens_per_second, const usage_windows& windows = {});

    /// Records the weight of a customer that has sent a request of this level.
    void set_weight(const customer_id& customer, int level, double weight);
    void add_usage(const customer_id& customer, int level, bool is_long, double tokens,
                   instant now);
    /// Returns true if the customer has recently used clearly more than its share.
    bool over_share(const customer_id& customer, int level, bool is_long, instant now) const;

    /// Recent usage by a customer at this and more urgent levels, as a fraction of the upstream.
    double used(const customer_id& customer, int level, bool is_long, instant now) const;
    /// Recent usage by all customers together.
    double total_used(int level, bool is_long, instant now) const;
    /// The fraction of the upstream that a customer may use while all customers together are held
    /// to `total`. Usage is taken from those that use most for their weight first, so that a
    /// customer may use what others leave; nothing is taken from a customer near or below its
    /// fraction of the weights of those in use.
    /// @return a fraction of the upstream for each unit of weight
    double usage_limit(int level, bool is_long, double total, instant now) const;
    /// Number of customers seen.
    std::size_t size() const noexcept { return customers_.size(); }

private:
    struct level_usage {
        explicit level_usage(const usage_windows& windows)
            : short_usage(windows.short_prompts), long_usage(windows.long_prompts) {}

        decaying_rate short_usage;
        decaying_rate long_usage;
    };
    struct customer_usage {
        double weight = 0.0;
        std::map<int, level_usage> levels;
    };

    double used(const customer_usage& customer, int level, bool is_long, instant now) const;

    double tokens_per_second_;
    usage_windows windows_;
    std::map<customer_id, customer_usage> customers_;
    /// Weights of the customers by the most urgent level at which they were seen.
    std::map<int, double> weights_;
};

}  // namespace fuchsiaquay
