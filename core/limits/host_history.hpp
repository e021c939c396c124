#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Remembers the hosts that were recently live, to distinguish a network partition from a few dead
/// hosts and a new limit keeper from an established one.
class host_history {
public:
    /// Time for which a host that is no longer live is remembered.
    static constexpr duration retention = std::chrono::minutes(15);
    /// Delay before a rise of the live fraction counts, so that hosts from both sides of a healed
    /// partition can first state their shares.
    static constexpr duration rise_delay = std::chrono::seconds(3);

    /// Updates the live hosts. `left` lists the hosts among the missing ones that left on purpose.
    void observe(const std::vector<host_id>& live, const std::vector<host_id>& left, instant now);
    /// Number of live hosts divided by the number of remembered hosts, except those that left on
    /// purpose; the lower value for `rise_delay` after a rise.
    double live_fraction(instant now) const;
    /// Returns true if another host was or may have been the rendezvous owner of `key` within
    /// `period`.
    bool recently_became_owner(std::string_view key, const host_id& self, duration period,
                               instant now) const;
    const std::vector<host_id>& live() const noexcept { return live_; }

private:
    double present_fraction() const;

    struct departure {
        instant at{};
        bool on_purpose = false;
    };

    std::vector<host_id> live_;
    std::map<host_id, departure> departed_;
    bool observed_ = false;
    instant started_{};
    double fraction_ = 1.0;
    double lower_fraction_ = 1.0;
    instant rose_at_{};
};

}  // namespace fuchsiaquay
