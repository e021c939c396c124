#include "core/relay/connection_end_evidence.hpp"

#include <cstddef>
#include <set>

namespace fuchsiaquay {

namespace {

/// Largest distance between connections that are cut at the same moment, as this host sees it.
constexpr duration same_moment = std::chrono::milliseconds(10);
/// Time for which a loss is remembered; an end is judged that long after it at most.
constexpr duration memory_time = std::chrono::seconds(1);
/// Upstreams that lose connections at the same moment by chance are fewer.
constexpr std::size_t min_other_upstreams = 2;

}  // namespace

void connection_end_evidence::on_lost(const upstream_lifetime& upstream, instant now) {
    while (!losses_.empty() && now - losses_.front().at > memory_time) {
        losses_.pop_front();
    }
    losses_.push_back({upstream, now});
}

bool connection_end_evidence::suggest_loss(const upstream_lifetime& upstream, instant ended_at) const {
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
