#include "core/relay/connection_end_evidence.hpp"

#include <cstddef>
#include <set>

namespace fuchsiaquay {

namespace {

/// Largest distance between connections that are cut at the same moment, as this host sees it.
constexpr duration same_moment = std::chrono::milliseconds(10);
/// Distance between two ticks from which this process was suspended, perhaps for so long that
/// another process serves at the address of an upstream that has ended meanwhile.
constexpr duration suspension = std::chrono::milliseconds(1'900);
/// Time after a suspension within which everything is read that arrived during it.
constexpr duration catch_up_time = std::chrono::milliseconds(100);
/// Time for which a loss is remembered; an end is judged that long after it at most.
constexpr duration memory_time = std::chrono::seconds(1);
/// Upstreams that lose connections at the same moment by chance are fewer.
constexpr std::size_t min_other_upstreams = 2;

}  // namespace

void connection_end_evidence::on_tick(instant now) {
    if (last_tick_ != instant::max() && now - last_tick_ > suspension) {
        suspended_at_ = last_tick_;
        resumed_at_ = now;
    }
    last_tick_ = now;
}

void connection_end_evidence::on_lost(const upstream_lifetime& upstream, instant now) {
    while (!losses_.empty() && now - losses_.front().at > memory_time) {
        losses_.pop_front();
    }
    losses_.push_back({upstream, now});
}

const char* connection_end_evidence::objection(const upstream_lifetime& upstream,
                                               instant ended_at) const {
    if (suspended_before(ended_at)) {
        return "this host was suspended";
    }
    return suggest_loss(upstream, ended_at) ? "other connections were lost with it" : nullptr;
}

bool connection_end_evidence::suspended_before(instant ended_at) const {
    const bool tick_overdue = last_tick_ != instant::max() && ended_at - last_tick_ > suspension;
    const bool catching_up = resumed_at_ != instant::max() && ended_at > suspended_at_ &&
                             ended_at - resumed_at_ <= catch_up_time;
    return tick_overdue || catching_up;
}

bool connection_end_evidence::suggest_loss(const upstream_lifetime& upstream,
                                           instant ended_at) const {
    std::set<upstream_lifetime> others;
    for (const loss& item : losses_) {
        const duration distance = item.at - ended_at;
        if (distance > same_moment || distance < -same_moment) {
            continue;
        }
        if (item.upstream == upstream) {
            return true;
        }
        others.insert(item.upstream);
    }
    return others.size() >= min_other_upstreams;
}

}  // namespace fuchsiaquay
