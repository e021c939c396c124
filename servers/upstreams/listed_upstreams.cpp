#include "servers/upstreams/listed_upstreams.hpp"

#include <utility>

namespace fuchsiaquay {

bool listed_upstreams::replace(const std::vector<upstream>& list) {
    std::map<upstream_id, upstream> next;
    for (const upstream& item : list) {
        next.emplace(item.id, item);
    }
    const bool changed = next != upstreams_;
    upstreams_ = std::move(next);
    return changed;
}

std::vector<upstream> listed_upstreams::all() const {
    std::vector<upstream> list;
    list.reserve(upstreams_.size());
    for (const auto& entry : upstreams_) {
        list.push_back(entry.second);
    }
    return list;
}

std::optional<upstream> listed_upstreams::find(const upstream_id& id) const {
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return std::nullopt;
    }
    return found->second;
}

}  // namespace fuchsiaquay
