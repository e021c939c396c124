#pragma once

#include <functional>
#include <vector>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

struct upstream;

/// Determines the owner of an upstream by rendezvous hashing over the live hosts of its data
/// centre, or, if that has none, over the live hosts of all reachable data centres. Every host
/// computes the same owner from the same membership. Hosts whose views differ for a while may
/// determine two owners; this causes refusals at the engine but loses no memory and no answer, see
/// docs/design/membership.md.
class ownership {
public:
    /// Live hosts of one data centre; empty while it is unreachable.
    using live_hosts = std::function<std::vector<host_id>(const data_centre_id&)>;
    /// All data centres with a listed host.
    using data_centres = std::function<std::vector<data_centre_id>()>;

    ownership(live_hosts hosts, data_centres centres);

    /// Owner of `target`, or an empty id if no host is live.
    host_id owner_of(const upstream& target) const;

private:
    live_hosts hosts_;
    data_centres centres_;
};

/// Returns true if `host` granted `grant` as owner, judged by the format of grant ids. Also true
/// for a host whose name followed by a dash is a prefix of the granting host's name.
bool granted_by(const grant_id& grant, const host_id& host);

}  // namespace fuchsiaquay
