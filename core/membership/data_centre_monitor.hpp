#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/identity/names.hpp"
#include "core/messages/data_centre_heartbeat.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Tells which other data centres can be reached. The bridges of each data centre advance its beat,
/// which spreads with the gossip; one that stands still is parted or dead. Its hosts are not
/// declared dead for that, so that nothing has to be refuted when it returns.
class data_centre_monitor {
public:
    data_centre_monitor(const data_centre_id& own, duration unreachable_after, instant now);

    /// A bridge of the own data centre shows that it lives.
    void advance_own_heartbeat();
    void receive(const std::vector<data_centre_heartbeat>& beats, instant now);
    /// The process was paused: silence counts from now.
    void restart_silence(instant now);
    bool reachable(const data_centre_id& data_centre, instant now) const;
    std::vector<data_centre_heartbeat> heartbeats() const;

private:
    struct entry {
        std::uint32_t beat = 0;
        instant heard{};
    };

    std::uint32_t own_key_;
    duration silent_after_;
    instant started_;
    std::map<std::uint32_t, entry> entries_;
};

}  // namespace fuchsiaquay
