#include "servers/relay/evacuation_guard.hpp"

#include <algorithm>
#include <string>

#include "core/fleet/evacuation_set.hpp"
#include "core/fleet/upstream_entry.hpp"
#include "core/placement/placement_decision.hpp"
#include "servers/fleet/evacuation_feed.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/relay_services.hpp"
#include "servers/store/prefix_mirror.hpp"

namespace fuchsiaquay {

bool evacuation_guard::informed() const {
    return !services_.evacuations.active() || services_.configuration_mirror.fresh();
}

bool evacuation_guard::allows(const placement_decision& decision) const {
    if (!services_.evacuations.active()) {
        return true;
    }
    const evacuation_set& evacuations = services_.evacuations.current();
    const auto stays = [this, &evacuations](const std::string& id) {
        const upstream_entry* entry = services_.upstreams.find(id);
        return !evacuations.covers(entry == nullptr ? "" : entry->data_centre);
    };
    return informed() && stays(decision.engine) &&
           std::all_of(decision.helpers.begin(), decision.helpers.end(),
                       [&stays](const placement_part& part) { return stays(part.engine); });
}

}  // namespace fuchsiaquay
