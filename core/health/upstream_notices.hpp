#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct upstream_entry;

/// Notices that upstreams give about themselves in their answers: that they are leaving, or for how
/// long they want no requests from this host. A notice is valid until the upstream restarts.
class upstream_notices {
public:
    /// Records that `upstream` is leaving. Returns true if this was not known.
    bool on_leaving(const upstream_entry& upstream);
    /// Records that `upstream` wants no requests for `pause`. A shorter pause does not end a longer
    /// one.
    void on_pause(const upstream_entry& upstream, duration pause, instant now);
    /// Returns true if the upstream accepts requests of this host.
    bool accepts(const upstream_entry& upstream, instant now) const;
    /// Time until the upstream accepts requests again; nothing if it is leaving.
    std::optional<duration> pause_left(const upstream_entry& upstream, instant now) const;
    /// Removes the notices of an upstream that no longer exists.
    void forget(const std::string& upstream) { notices_.erase(upstream); }

private:
    struct notice {
        std::int64_t started_at_ms = 0;
        bool leaving = false;
        instant paused_until{};
    };

    notice& current_notice(const upstream_entry& upstream);
    const notice* find(const upstream_entry& upstream) const;

    /// By upstream id.
    std::map<std::string, notice> notices_;
};

}  // namespace fuchsiaquay
