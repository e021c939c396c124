#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/placement/slow_engine.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// How many times slower than their profile engines work. Answers the pattern "some engines work
/// several times slower for a while": what an engine's streams show holds for a while after the
/// last sign of it, longer each time that it proves true again.
class engine_slowdown_tracker {
public:
    /// Takes the pause between two events of a stream at `engine`, as a multiple of what the
    /// engine's profile and load give. True when this changes what is believed of the engine.
    bool observe(const std::string& engine, double ratio, instant now);
    /// Takes what another host observed; it counts for a moment, and less than own observations.
    void learn(const slow_engine& engine, instant now);
    /// Engines that this host's own streams show to be slow.
    std::vector<slow_engine> observed(instant now) const;
    /// 1 for an engine that is not known to be slow.
    double slowdown_of(const std::string& engine, instant now) const;
    void forget(const std::string& engine) { engines_.erase(engine); }

private:
    struct record {
        /// Smallest ratio of the current pass, and when that pass was first seen.
        double pass_ratio = 0.0;
        instant pass_at{};
        /// Slow passes in a row, and the smallest ratio among them.
        int slow_passes = 0;
        double slowdown = 1.0;
        int usual_passes = 0;
        instant slow_until{};
        duration hold{};
        double learned_pace = 1.0;
        instant learned_until{};
    };

    static bool end_pass(record& item, instant now);

    std::map<std::string, record> engines_;
};

}  // namespace fuchsiaquay
