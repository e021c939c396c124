#include "core/upstreams/upstream_catalogue.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {

upstream_catalogue::outcome upstream_catalogue::apply(const host_id& poller,
                                                      const upstream_update& update) {
    const bool complete = update.base_version == 0;
    const auto known = views_.find(poller);
    if (!complete && (known == views_.end() || known->second.version != update.base_version)) {
        return outcome::incomplete;
    }
    view& poller_view = views_[poller];
    if (complete) {
        poller_view.upstreams.clear();
    }
    poller_view.version = update.version;
    for (const upstream& target : update.changed) {
        poller_view.upstreams[target.id] = target;
    }
    for (const upstream_id& id : update.gone) {
        poller_view.upstreams.erase(id);
    }
    return merge() ? outcome::changed : outcome::unchanged;
}

bool upstream_catalogue::retain_pollers(const std::vector<host_id>& pollers) {
    const auto elected = [&](const host_id& host) {
        return std::find(pollers.begin(), pollers.end(), host) != pollers.end();
    };
    const bool poller_known = std::any_of(views_.begin(), views_.end(),
                                          [&](const auto& entry) { return elected(entry.first); });
    if (!poller_known) {
        return false;
    }
    for (auto it = views_.begin(); it != views_.end();) {
        it = elected(it->first) ? std::next(it) : views_.erase(it);
    }
    return merge();
}

bool upstream_catalogue::merge() {
    std::map<upstream_id, upstream> merged;
    for (const auto& [poller, poller_view] : views_) {
        for (const auto& [id, target] : poller_view.upstreams) {
            const auto inserted = merged.emplace(id, target);
            if (!inserted.second && target.leaving) {
                inserted.first->second.leaving = true;
            }
        }
    }
    const bool changed = merged != merged_;
    merged_ = std::move(merged);
    return changed;
}

std::optional<upstream> upstream_catalogue::find(const upstream_id& id) const {
    const auto found = merged_.find(id);
    if (found == merged_.end()) {
        return std::nullopt;
    }
    return found->second;
}

}  // namespace fuchsiaquay
