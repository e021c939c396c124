#include "core/fleet/recent_work_changes.hpp"

#include <algorithm>

namespace fuchsiaquay {

namespace {

/// Time for which a change is repeated. Datagrams of one sender overtake each other by less, and a
/// busy host announces several changes within this time.
constexpr duration repeat_time = std::chrono::milliseconds(100);

}  // namespace

void recent_work_changes::add(const std::vector<engine_work>& works, instant now) {
    remove_old(now);
    for (const engine_work& work : works) {
        changes_[{work.key, work.engine}] = {work, now, ++count_};
    }
}

std::vector<engine_work> recent_work_changes::since(instant now) {
    remove_old(now);
    std::vector<const change*> ordered;
    for (const auto& [key, item] : changes_) {
        ordered.push_back(&item);
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

void recent_work_changes::remove_old(instant now) {
    for (auto item = changes_.begin(); item != changes_.end();) {
        item = now - item->second.changed_at > repeat_time ? changes_.erase(item) : std::next(item);
    }
}

}  // namespace fuchsiaquay
