#include "core/health/upstream_notices.hpp"

#include <algorithm>

#include "core/fleet/upstream_entry.hpp"

namespace fuchsiaquay {

upstream_notices::notice& upstream_notices::current_notice(const upstream_entry& upstream) {
    notice& known = notices_[upstream.id];
    if (known.started_at_ms != upstream.started_at_ms) {
        known = {};
        known.started_at_ms = upstream.started_at_ms;
    }
    return known;
}

const upstream_notices::notice* upstream_notices::find(const upstream_entry& upstream) const {
    const auto found = notices_.find(upstream.id);
    const bool known =
        found != notices_.end() && found->second.started_at_ms == upstream.started_at_ms;
    return known ? &found->second : nullptr;
}

bool upstream_notices::on_leaving(const upstream_entry& upstream) {
    notice& known = current_notice(upstream);
    const bool is_new = !known.leaving;
    known.leaving = true;
    return is_new;
}

void upstream_notices::on_pause(const upstream_entry& upstream, duration pause, instant now) {
    notice& known = current_notice(upstream);
    known.paused_until = std::max(known.paused_until, now + pause);
}

bool upstream_notices::accepts(const upstream_entry& upstream, instant now) const {
    return pause_left(upstream, now) == duration::zero();
}

std::optional<duration> upstream_notices::pause_left(const upstream_entry& upstream,
                                                     instant now) const {
    const notice* known = find(upstream);
    if (known == nullptr) {
        return duration::zero();
    }
    if (known->leaving) {
        return std::nullopt;
    }
    return std::max(duration::zero(), known->paused_until - now);
}

}  // namespace fuchsiaquay
