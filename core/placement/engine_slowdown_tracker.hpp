#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/placement/slow_engine.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Tracks how many times slower than their profiles the engines run, because engines can become
/// several times slower temporarily. A slowdown remains in effect for a hold time after the last
/// slow pass. The hold time doubles each time the engine is found to be slow again.
class engine_slowdown_tracker {
public:
    /// Records the time between two events of a stream on `engine`.
    /// @param ratio  measured time divided by the time expected from the profile and the load
    /// @return true if the engine becomes slow or recovers
    bool observe(const std::string& engine, double ratio, instant now);
    /// Records an observation of another host. It expires quickly, and own observations take
    /// precedence over it.
    void observe_remote(const slow_engine& engine, instant now);
    /// Engines that are slow according to this host's own streams.
    std::vector<slow_engine> observed(instant now) const;
    /// Factor by which the engine is slower than its profile; 1 if it is not known to be slow.
    double slowdown_of(const std::string& engine, instant now) const;
    void remove(const std::string& engine) { engines_.erase(engine); }

private:
    struct record {
        /// Smallest ratio of the current pass, and the time of its first event.
        double pass_ratio = 0.0;
        instant pass_at{};
        /// Consecutive slow passes, and the smallest ratio among them.
        int slow_passes = 0;
        double slowdown = 1.0;
        int normal_passes = 0;
        instant slow_until{};
        duration hold{};
        double remote_slowdown = 1.0;
        instant remote_until{};
    };

    static bool end_pass(record& entry, instant now);

    std::map<std::string, record> engines_;
};

}  // namespace fuchsiaquay
