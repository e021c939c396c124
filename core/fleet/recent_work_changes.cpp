#include "core/fleet/recent_work_changes.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// Time for which a change is repeated. Datagrams of one sender overtake each other by less, and a
/// busy host announces several changes within this time.
constexpr duration repeat_time = std::chrono::milliseconds(100);

}  // namespace

void recent_work_changes::add(const std::vector<engine_work>& works) {
    for (const engine_work& work : works) {
        changes_[{work.key, work.engine}] = {work, ++count_, std::nullopt};
    }
}

std::vector<engine_work> recent_work_changes::announce(instant now) {
    std::vector<const change*> ordered;
    for (auto item = changes_.begin(); item != changes_.end();) {
        change& next = item->second;
        if (next.announced_at && now - *next.announced_at > repeat_time) {
            item = changes_.erase(item);
            continue;
        }
        next.announced_at = next.announced_at.value_or(now);
        ordered.push_back(&next);
        ++item;
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const change* a, const change* b) { return a->number < b->number; });
    std::vector<engine_work> works;
    works.reserve(ordered.size());
    for (const change* item : ordered) {
        works.push_back(item->work);
    }
    return works;
}

}  // namespace fuchsiaquay
