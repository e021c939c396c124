#pragma once

#include <iterator>

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Removes the items of a map from keys to times whose time is before `oldest`.
template <typename map>
void remove_older(map& items, instant oldest) {
    for (auto item = items.begin(); item != items.end();) {
        item = item->second < oldest ? items.erase(item) : std::next(item);
    }
}

}  // namespace fuchsiaquay
