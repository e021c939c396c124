#include "core/upstreams/polled_upstreams.hpp"

#include <utility>

namespace fuchsiaquay {

bool polled_upstreams::set_list(const std::vector<upstream>& list) {
    if (list == list_) {
        return false;
    }
    list_ = list;
    return true;
}

bool polled_upstreams::set_overrides(std::vector<upstream_override> overrides) {
    if (overrides == overrides_) {
        return false;
    }
    overrides_ = std::move(overrides);
    return true;
}

std::optional<upstream_update> polled_upstreams::refresh() {
    std::map<upstream_id, upstream> merged;
    for (const upstream& listed : list_) {
        merged[listed.id] = listed;
    }
    for (const upstream_override& entry : overrides_) {
        if (entry.added && merged.count(entry.id) == 0) {
            merged[entry.id] = *entry.added;
        }
        const auto found = merged.find(entry.id);
        if (found != merged.end() && entry.drained) {
            found->second.leaving = true;
        }
    }
    upstream_update update;
    for (const auto& [id, target] : merged) {
        const auto known = view_.find(id);
        if (known == view_.end() || known->second != target) {
            update.changed.push_back(target);
        }
    }
    for (const auto& [id, target] : view_) {
        if (merged.count(id) == 0) {
            update.gone.push_back(id);
        }
    }
    if (update.changed.empty() && update.gone.empty()) {
        return std::nullopt;
    }
    update.base_version = version_;
    update.version = ++version_;
    view_ = std::move(merged);
    return update;
}

std::vector<upstream_update> polled_upstreams::full_updates(std::size_t max_upstreams) const {
    std::vector<upstream_update> parts(1);
    parts.front().version = version_;
    for (const auto& [id, target] : view_) {
        if (parts.back().changed.size() == max_upstreams) {
            parts.push_back(empty_update());
        }
        parts.back().changed.push_back(target);
    }
    return parts;
}

upstream_update polled_upstreams::empty_update() const {
    upstream_update update;
    update.version = version_;
    update.base_version = version_;
    return update;
}

}  // namespace fuchsiaquay
