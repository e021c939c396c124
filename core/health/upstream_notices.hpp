#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct upstream_entry;

/// What upstreams said of themselves in their answers: that they leave, or for how long they want
/// no requests from this host. Holds for one lifetime of an upstream.
class upstream_notices {
public:
    /// True when this was not known.
    bool on_leaving(const upstream_entry& upstream);
    /// Takes the time for which `upstream` wants nothing; a shorter one ends no longer one.
    void on_pause(const upstream_entry& upstream, duration pause, instant now);
    /// Whether the upstream accepts requests of this host.
    bool accepts(const upstream_entry& upstream, instant now) const;
    /// Time until the upstream accepts requests again; nothing when it leaves.
    std::optional<duration> pause_left(const upstream_entry& upstream, instant now) const;
    /// Drops what is known of an upstream that is gone.
    void forget(const std::string& upstream) { notices_.erase(upstream); }

private:
    struct notice {
        std::int64_t started_at_ms = 0;
        bool leaving = false;
        instant paused_until{};
    };

    notice& of(const upstream_entry& upstream);
    const notice* find(const upstream_entry& upstream) const;

    /// By upstream id.
    std::map<std::string, notice> notices_;
};

}  // namespace fuchsiaquay
