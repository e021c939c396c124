#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "core/identity/names.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Remembers the hosts that were live lately, to tell a partition from a few dead hosts and a new
/// limit keeper from an old one.
class host_history {
public:
    /// Time for which a host that vanished is remembered.
    static constexpr duration retention = std::chrono::minutes(15);
    /// Time before a higher live fraction counts, so that hosts of both sides state their shares.
    static constexpr duration rise_delay = std::chrono::seconds(3);

    /// Takes in the live hosts. `left` are those among the vanished that left on purpose.
    void observe(const std::vector<host_id>& live, const std::vector<host_id>& left, instant now);
    /// Live hosts over hosts remembered; the lowest of the last moments.
    double live_fraction(instant now) const;
    /// Whether another host was the first choice for `key` within the hold time, or may have been.
    bool recently_became_owner(std::string_view key, const host_id& self, duration hold,
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
