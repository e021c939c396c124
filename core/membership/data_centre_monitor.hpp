#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/identity/names.hpp"
#include "core/messages/data_centre_heartbeat.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Detects which other data centres are reachable. The bridges of each data centre increment its
/// heartbeat counter, which is spread by gossip. A data centre whose counter stops increasing is
/// partitioned or has failed. Its hosts are not declared dead, so that no refutations are needed
/// when it becomes reachable again.
class data_centre_monitor {
public:
    data_centre_monitor(const data_centre_id& own_data_centre, duration unreachable_after,
                        instant now);

    /// Increments the heartbeat of the own data centre. Called on its bridges.
    void advance_own_heartbeat();
    void receive(const std::vector<data_centre_heartbeat>& beats, instant now);
    /// Measures silence from `now` on. Called after this process was paused.
    void restart_silence(instant now);
    bool reachable(const data_centre_id& data_centre, instant now) const;
    std::vector<data_centre_heartbeat> heartbeats() const;

private:
    struct heartbeat {
        std::uint32_t counter = 0;
        instant increased_at{};
    };

    std::uint32_t own_key_;
    duration unreachable_after_;
    instant silence_start_;
    std::map<std::uint32_t, heartbeat> heartbeats_;
};

}  // namespace fuchsiaquay
