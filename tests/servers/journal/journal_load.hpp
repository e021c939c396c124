#pragma once

/// @file
/// Constant load on three journals in virtual time, generated from a seed.

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "tests/servers/journal/journal_fleet.hpp"

namespace fuchsiaquay {

/// Calls of ten customers with Poisson arrivals; each customer uses two of the three nodes. The
/// service answers with 100 bytes after 20 ms.
class journal_load {
public:
    /// @param rate       total calls per second
    /// @param per_node   writes per second allowed for each node
    /// @param period     keys of one customer issued in the same period share a shard
    journal_load(double rate, double per_node, duration period) : rate_(rate) {
        fleet_.settings_.shard_count = 1'024;
        fleet_.settings_.shard_period = period;
        fleet_.settings_.writes_per_second = per_node;
        for (const char* name : names_) {
            fleet_.at(name).start();
        }
    }

    void run(duration length) {
        std::exponential_distribution<double> gap(rate_);
        const instant end = fleet_.timers_.now() + length;
        while (fleet_.timers_.now() < end) {
            fleet_.timers_.advance(from_seconds(gap(random_)));
            call();
        }
        seconds_ = to_seconds(fleet_.timers_.now().time_since_epoch());
        fleet_.timers_.advance(std::chrono::seconds(5));
    }

    std::uint64_t sum(std::uint64_t journal_counters::*counter) {
        std::uint64_t total = 0;
        for (const char* name : names_) {
            total += fleet_.at(name).journal_->counters().*counter;
        }
        return total;
    }

    double writes_per_second() {
        return static_cast<double>(sum(&journal_counters::store_writes)) / seconds_;
    }

    /// Stored bytes per started call.
    double stored_bytes_per_call() {
        std::size_t bytes = 0;
        for (int shard = 0; shard < 1'024; ++shard) {
            bytes += fleet_.store_.get("fuchsiaquay/journal/" + std::to_string(shard)).value.size();
        }
        return static_cast<double>(bytes) / static_cast<double>(sum(&journal_counters::started));
    }

    /// Quantile of the time from `begin` to the token in milliseconds, over all started calls.
    double latency_ms(double quantile) {
        if (latencies_.empty()) {
            return 0.0;
        }
        std::sort(latencies_.begin(), latencies_.end());
        const auto last = static_cast<double>(latencies_.size() - 1);
        return to_seconds(latencies_.at(static_cast<std::size_t>(quantile * last))) * 1'000.0;
    }

    std::string report() {
        const auto started = static_cast<double>(sum(&journal_counters::started));
        char text[300];
        std::snprintf(
            text, sizeof text,
            "%.0f calls/s: started %.1f/s, refused %.1f/s, %.1f writes/s (%.2f a call), conflicts "
            "%.1f/s, %.0f bytes written and %.0f kept a call, token after %.1f / %.1f / %.1f ms "
            "(p50 p95 p99)",
            rate_, started / seconds_,
            static_cast<double>(sum(&journal_counters::over_budget)) / seconds_,
            writes_per_second(), writes_per_second() * seconds_ / started,
            static_cast<double>(sum(&journal_counters::write_conflicts)) / seconds_,
            static_cast<double>(sum(&journal_counters::bytes_written)) / started,
            stored_bytes_per_call(), latency_ms(0.5), latency_ms(0.95), latency_ms(0.99));
        return text;
    }

    double seconds() const { return seconds_; }
    /// Refusals without a `retry_after`.
    int refused_without_time_ = 0;

private:
    void call() {
        const unsigned customer = random_() % 10;
        const std::string name = names_.at((customer + random_() % 2) % 3);
        const instant begun = fleet_.timers_.now();
        const begin_request request{customer_id("customer-" + std::to_string(customer)),
                                    fleet_.new_key(), 7, std::chrono::seconds(10)};
        fleet_.at(name).journal_->begin(request, [this, name, begun](const auto& result) {
            if (result.verdict == begin_verdict::started) {
                latencies_.push_back(fleet_.timers_.now() - begun);
                finish(name, result.token);
            } else if (result.retry_after <= duration::zero()) {
                ++refused_without_time_;
            }
        });
    }

    void finish(const std::string& name, const journal_token& token) {
        fleet_.timers_.after(std::chrono::milliseconds(20), [this, name, token] {
            fleet_.at(name).journal_->finish(
                token, journal_outcome::answered(200, "application/json", std::string(100, 'x')));
        });
    }

    journal_fleet fleet_;
    std::vector<const char*> names_{"a", "b", "c"};
    double rate_;
    std::mt19937 random_{3};
    std::vector<duration> latencies_;
    double seconds_ = 0.0;
};

}  // namespace fuchsiaquay
