#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Time within which the placement of one host reaches the others.
constexpr duration placement_news_time = std::chrono::milliseconds(20);

/// The part of the engines' room that one host may use before it knows what the others placed.
/// Hosts whose prompts wait all learn at the same moment that an engine has room. Without shares
/// each of them would fill it.
class room_share {
public:
    room_share() = default;
    /// @param hosts  hosts that place prompts, including this one
    /// @param own_recent  prompts that this host placed within `placement_news_time`
    /// @param draw  number from 0 to below 1 that decides about a fraction of a place, and differs
    ///     between hosts
    room_share(std::size_t hosts, std::size_t own_recent, double draw)
        : hosts_(hosts), own_recent_(own_recent), draw_(draw) {}

    /// Whether this host may place one more prompt.
    /// @param room  prompts that the engines have room for, beside those that this host placed
    bool allows(double room) const;

    /// Hosts that place prompts, including this one.
    std::size_t hosts() const noexcept { return hosts_; }

    friend bool operator==(const room_share& a, const room_share& b) {
        return a.hosts_ == b.hosts_ && a.own_recent_ == b.own_recent_ && a.draw_ == b.draw_;
    }
    friend bool operator!=(const room_share& a, const room_share& b) { return !(a == b); }

private:
    std::size_t hosts_ = 1;
    std::size_t own_recent_ = 0;
    double draw_ = 0.0;
};

/// Draw of a host, constant for one `placement_news_time`.
double room_share_draw(const std::string& host, instant now);

}  // namespace fuchsiaquay
