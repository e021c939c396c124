#include "core/placement/room_share.hpp"

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

namespace {

constexpr std::uint64_t draw_steps = 1'024;

}  // namespace

bool room_share::allows(double room) const {
    const auto own = static_cast<double>(own_recent_);
    return hosts_ <= 1 || own + draw_ < (room + own) / static_cast<double>(hosts_);
}

double room_share_draw(const std::string& host, instant now) {
    const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / placement_news_time);
    return static_cast<double>(stable_hash(host, period) % draw_steps) / draw_steps;
}

}  // namespace fuchsiaquay
