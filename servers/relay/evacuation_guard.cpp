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

namespace {

constexpr int status_unavailable = 503;
/// Retry delay for callers while the evacuations are not known. Another host usually tells them
/// within this time.
constexpr duration unknown_retry_after = std::chrono::milliseconds(700);

}  // namespace

std::optional<rejection> evacuation_guard::refusal() const {
    const evacuation_feed& evacuations = services_.evacuations;
    const bool known = evacuations.as_of() > 0 && services_.configuration_mirror.fresh();
    if (known || !evacuations.active()) {
        return std::nullopt;
    }
    return rejection{status_unavailable, "evacuations_unknown", unknown_retry_after};
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
    return !refusal() && stays(decision.engine) &&
           std::all_of(decision.helpers.begin(), decision.helpers.end(),
                       [&stays](const placement_part& part) { return stays(part.engine); });
}

}  // namespace fuchsiaquay
