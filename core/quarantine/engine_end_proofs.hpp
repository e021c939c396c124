#pragma once

#include <map>
#include <optional>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Remembers which processes of engines are known to have ended, and since when.
class engine_end_proofs {
public:
    /// Records that nothing listens at the address of `engine`, or that its entry was removed.
    void on_gone(const upstream_lifetime& engine, instant now);
    /// Records the entry of a process that replaced an earlier one with the same id, which proves
    /// the end of all earlier ones. An entry that is written again proves nothing new.
    void on_restarted(const upstream_lifetime& engine, instant now);
    /// Whether the process is known to have ended, and a proof of it came in the given time.
    bool proved_between(const upstream_lifetime& engine, instant first, instant last) const;
    void remove_older(instant oldest);

private:
    /// When each process was last found to be gone.
    std::map<upstream_lifetime, instant> gone_;
    /// Processes that replaced earlier ones, and when this became known.
    std::map<upstream_lifetime, instant> restarted_;
};

}  // namespace fuchsiaquay
