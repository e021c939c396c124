#pragma once

#include <functional>
#include <vector>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

struct upstream;

/// Says who owns an upstream: the rendezvous choice among the live hosts of its data centre; while
/// that has none, among the live hosts of all reachable data centres. Every host computes the same
/// owner from the same membership; hosts whose views differ for a while may name two owners, which
/// costs refusals at the engine but no memory and no answer, see docs/design/membership.md.
class ownership {
public:
    /// Live hosts of one data centre, none while it cannot be reached.
    using live_hosts = std::function<std::vector<host_id>(const data_centre_id&)>;
    /// Every data centre with a listed host.
    using data_centres = std::function<std::vector<data_centre_id>()>;

    ownership(live_hosts hosts, data_centres centres);

    /// Owner of `target`, or an empty id while no host lives.
    host_id owner_of(const upstream& target) const;

private:
    live_hosts hosts_;
    data_centres centres_;
};

/// True if `host` granted `grant` as owner, by the form of grant ids. A host whose name begins with
/// that of another one and a dash may be taken for it.
bool granted_by(const grant_id& grant, const host_id& host);

}  // namespace fuchsiaquay
