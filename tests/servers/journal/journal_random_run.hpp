#pragma once

/// @file
/// Random faults, generated from a seed, on three nodes in virtual time.

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "tests/servers/journal/journal_fleet.hpp"

namespace fuchsiaquay {

/// One run of random calls and faults with a small number of keys.
class journal_random_run {
public:
    journal_random_run(unsigned seed, journal_fault fault) : fleet_(fault), random_(seed) {
        for (int key = 0; key < 4; ++key) {
            keys_.push_back(fleet_.new_key());
        }
        results_.reserve(steps_per_run);
    }

    void execute() {
        for (int step = 0; step < steps_per_run; ++step) {
            run_step();
            fleet_.timers_.advance(std::chrono::milliseconds(draw(0, 400)));
        }
        for (const char* name : names_) {
            fleet_.at(name).store_.out_ = false;
        }
        fleet_.timers_.advance(std::chrono::seconds(30));
    }

    int most_executions() const {
        int most = 0;
        for (const auto& [key, count] : fleet_.executions_) {
            most = std::max(most, count);
        }
        return most;
    }

    /// Calls that got no verdict. This may happen only if their node crashed.
    int unanswered_calls() const {
        return static_cast<int>(std::count_if(results_.begin(), results_.end(),
                                              [](const auto& result) { return result.empty(); }));
    }

    int crashes() const { return crashes_; }

    /// True if the number of `started` verdicts equals the number of executions.
    bool verdicts_match_executions() const {
        int started = 0;
        for (const auto& result : results_) {
            const bool is_started =
                !result.empty() && result.front().verdict == begin_verdict::started;
            started += is_started ? 1 : 0;
        }
        int executed = 0;
        for (const auto& [key, count] : fleet_.executions_) {
            executed += count;
        }
        return started == executed;
    }

private:
    static constexpr int steps_per_run = 60;

    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

    void run_step() {
        const std::string name = names_.at(static_cast<std::size_t>(draw(0, 2)));
        journal_fleet::node& node = fleet_.at(name);
        switch (draw(0, 9)) {
            case 0:
                node.store_.lose_answers_ = draw(1, 2);
                break;
            case 1:
                node.store_.land_late_ = draw(1, 3);
                node.store_.landing_delay_ = std::chrono::milliseconds(draw(1, 6'000));
                break;
            case 2:
                node.store_.out_ = !node.store_.out_;
                break;
            case 3:
                ++crashes_;
                node.start();
                break;
            case 4:
                fleet_.dead_[name] = !fleet_.dead_[name];
                break;
            default:
                results_.emplace_back();
                fleet_.unanswered_ = draw(0, 3) == 0;
                fleet_.call(name, keys_.at(static_cast<std::size_t>(draw(0, 3))), results_.back());
        }
    }

    journal_fleet fleet_;
    std::mt19937 random_;
    std::vector<const char*> names_{"a", "b", "c"};
    std::vector<std::string> keys_;
    std::vector<std::vector<begin_result>> results_;
    int crashes_ = 0;
};

}  // namespace fuchsiaquay
